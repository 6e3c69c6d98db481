"""Tests of `corianderdoorctl` against the stand-in of the store."""

import json

import anyio
from builders import build_config, RULES
import pytest
from test_path import serving

from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import CONFIG_KEY, encode_config
from corianderdoor.standins.store import StoreStandin
from corianderdoor.tools.ctl import _build_parser, main
from corianderdoor.tools.history import run_history


async def run_command(*argv, stored=True):
    """Runs a command against a store that holds a configuration."""
    store = StoreStandin(SystemClock())
    if stored:
        store.write(CONFIG_KEY, encode_config(build_config()), 0)
    async with serving(store.app()) as url:
        args = _build_parser().parse_args([*argv, "--store", url])
        return await run_history(args)


def test_history_names_the_change_in_force(capsys):
    assert anyio.run(run_command, "history", "--json") == 0
    output = json.loads(capsys.readouterr().out)
    assert output == {
        "revision": 1,
        "changes": [{"change": "change-1", "author": "test"}],
    }


def test_history_of_an_empty_store_is_empty(capsys):
    anyio.run(lambda: run_command("history", stored=False))
    assert capsys.readouterr().out == "revision 0\n"


def test_diff_shows_what_would_change_and_exits_with_1(tmp_path, capsys):
    path = tmp_path / "routing.rules"
    path.write_text(RULES, encoding="utf-8")
    assert anyio.run(run_command, "diff", str(path)) == 0
    path.write_text(RULES + "path=/x -> p # Hana\n", encoding="utf-8")
    assert anyio.run(run_command, "diff", str(path)) == 1
    assert "+path=/x -> p # Hana" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("argv", "expected"),
    [
        (["check", "nowhere.rules"], "nowhere.rules: no such file"),
        (["status", "--hosts", "http://h", "--keys", "k.json"], "k.json"),
        (["apply"], "rules"),
    ],
)
def test_missing_files_are_usage_errors(argv, expected, capsys):
    with pytest.raises(SystemExit) as exc:
        main(argv)
    assert exc.value.code == 2
    assert expected in capsys.readouterr().err


def test_keys_that_are_no_list_are_a_usage_error(tmp_path, capsys):
    path = tmp_path / "keys.json"
    path.write_text('{"key": 1}', encoding="utf-8")
    with pytest.raises(SystemExit) as exc:
        main(["status", "--hosts", "http://h", "--keys", str(path)])
    assert exc.value.code == 2
    assert "Expected `array`" in capsys.readouterr().err


def test_rules_that_are_not_utf_8_are_refused(tmp_path, capsys):
    path = tmp_path / "routing.rules"
    path.write_bytes(b"path=/x -> p # \xff\n")
    assert main(["check", str(path)]) == 1
    assert "not UTF-8 at byte 15" in capsys.readouterr().err
