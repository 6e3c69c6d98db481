"""Tests that all log events are documented and take one line each."""

import ast
import pathlib
import re

from loguru import logger

from corianderdoor.adapters.logs import (
    format_pairs,
    log_event,
    set_up_logs,
)

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| `([a-z_]+)` \|[^|]*\|([^|]*)\|", re.MULTILINE)
KEYS = re.compile(r"`([a-z_ ]+)`")


def find_events() -> dict[str, set[str]]:
    """Returns the events that the package logs, with their keys."""
    events: dict[str, set[str]] = {}
    for path in (ROOT / "corianderdoor").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and "log_event" in (
                getattr(node.func, "id", ""),
                getattr(node.func, "attr", ""),
            ):
                for name in read_names(node.args[0]):
                    found = {str(pair.arg) for pair in node.keywords}
                    events.setdefault(name, set()).update(found)
    return events


def read_names(node: ast.expr) -> set[str]:
    """Returns the event names that `node` may have; they must be literals."""
    if isinstance(node, ast.IfExp):
        return read_names(node.body) | read_names(node.orelse)
    assert isinstance(node, ast.Constant), ast.dump(node)
    return {node.value}


def test_documented_events_and_keys_match_the_code():
    rows = ROW.findall((ROOT / "docs" / "LOGS.md").read_text("utf-8"))
    listed = {
        name: set(" ".join(KEYS.findall(keys)).split()) for name, keys in rows
    }
    assert len(rows) == len(listed)
    assert listed == find_events()


def test_value_with_spaces_quotes_and_newlines_stays_one_pair(capsys):
    set_up_logs("router", "entry-1")
    try:
        log_event("trial", detail='a "b"\nc=d\t\\ {e}', peer="s1", empty="")
    finally:
        logger.remove()
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith(
        r'host=entry-1 event=trial detail="a \"b\"\nc=d\t\\ {e}" '
        'peer=s1 empty=""'
    )


def test_value_from_a_peer_cannot_end_a_line_or_move_a_cursor():
    text = format_pairs({"detail": "a\rb\x1b[2J\u2028c\x85d\udc80"})
    assert text == r'detail="a\rb\x1b[2J\u2028c\x85d\udc80"'
