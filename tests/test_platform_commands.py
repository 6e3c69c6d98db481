"""`corianderdoorctl platform`: status of the store and file checks."""

from __future__ import annotations

import json
import pathlib

import anyio
import pytest

from corianderdoor.core.entry.replica import Change
from corianderdoor.standins.platform_fleet import build_settings, run_fleet
from corianderdoor.tools.ctl import main
from corianderdoor.tools.platform import run_platform, summarize

ROOT = pathlib.Path(__file__).parents[1]
DEPLOY = ROOT / "deploy" / "system.toml"


class Arguments:
    """Parsed arguments of `platform status`."""

    platform_command = "status"

    def __init__(self, store, as_json):
        self.store = store
        self.json = as_json


@pytest.mark.parametrize("as_json", [True, False])
def test_status_shows_servers_hosts_and_the_desired_state(capsys, as_json):
    async def scenario() -> int:
        async with run_fleet(engines=2, plain=1, hosts=1) as fleet:
            fleet.register_worker("engine-1", "127.0.0.9", "draining")
            fleet.store.state.put("op/evacuate/b", b"{}")
            fleet.store.state.put("servers/odd", b"nonsense")
            with anyio.fail_after(5):
                while fleet.store.state.get("corianderdoor/hosts/host-0") is (
                    None
                ):
                    await anyio.sleep(0.02)
            return await run_platform(Arguments(fleet.store_address, as_json))

    assert anyio.run(scenario) == 0
    out = capsys.readouterr().out
    # The fleet's hosts log to the same output.
    if as_json:
        found = json.loads(out[out.index('{\n  "revision"') :])
        assert found["servers"]["engines"] == {"warm": 1, "draining": 1}
        assert found["evacuated"] == ["b"]
        assert [host["name"] for host in found["hosts"]] == ["host-0"]
        assert found["desired"]["version"] == 1
        assert found["unusable"][0]["key"] == "servers/odd"
    else:
        assert "servers of engines: 1 warm, 1 draining" in out
        assert "evacuated data centres: b" in out
        assert "unusable: servers/odd" in out


def test_unreachable_store_is_reported(capsys):
    assert main(["platform", "status", "--store", "127.0.0.1:1"]) == 3
    assert "unreached" in capsys.readouterr().err


def test_invalid_store_address_is_rejected(capsys):
    with pytest.raises(SystemExit) as exc:
        main(["platform", "status", "--store", "nowhere"])
    assert exc.value.code == 2
    assert "not an address" in capsys.readouterr().err


def test_unusable_desired_state_is_reported():
    found = summarize([Change("op/config", b"{}", 4)], 9)
    assert found["desired"] is None
    assert found["unusable"][0]["key"] == "op/config"


def test_valid_settings_and_deploy_files_pass(tmp_path, capsys):
    path = tmp_path / "boot.json"
    path.write_bytes(build_settings("h1", "127.0.0.1", ("127.0.0.2", 80)))
    args = ["platform", "check", "--settings", str(path)]
    assert main([*args, "--deploy", str(DEPLOY)]) == 0
    assert capsys.readouterr().out.count("OK") == 2


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("roles = 1", "defines no roles"),
        ("x = ", "not valid TOML"),
        ('[roles.a]\nrun = "x"\nserves = ["registry"]', "on is missing"),
        ('[roles.a]\nrun = "x"\non = "edge"', "no role serves the registry"),
        (
            '[roles.a]\nrun="x"\non="edge"\nserves=["registry", "moon"]',
            "unknown value in serves: 'moon'",
        ),
        (
            '[roles.a]\nrun="x"\non="edge"\nmetrics="x"\nserves=["registry"]',
            "PORT/PATH",
        ),
        (
            '[roles.a]\nrun="x"\non="edge"\ntemplate="no"\n'
            'serves=["registry"]',
            "template can't be read",
        ),
    ],
)
def test_errors_in_a_deploy_file_are_reported(tmp_path, capsys, text, fault):
    path = tmp_path / "system.toml"
    path.write_text(text, encoding="utf-8")
    assert main(["platform", "check", "--deploy", str(path)]) == 1
    assert fault in capsys.readouterr().err


def test_missing_files_and_missing_options_are_reported(tmp_path, capsys):
    missing = str(tmp_path / "none")
    for option in ("--settings", "--deploy"):
        assert main(["platform", "check", option, missing]) == 1
        assert "can't be read" in capsys.readouterr().err
    assert main(["platform", "check"]) == 1
    assert "give --settings" in capsys.readouterr().err
