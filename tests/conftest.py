"""Fixtures that every test may use, and the tests that are known to fail."""

from __future__ import annotations

import pathlib
import re

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
TEST_ID = re.compile(r"tests/\S+\.py::\S+")


@pytest.fixture
def anyio_backend() -> str:
    """Runs async tests on the asyncio backend alone."""
    return "asyncio"


def read_known_failures() -> frozenset[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists."""
    return frozenset(TEST_ID.findall(KNOWN_RED.read_text("utf-8")))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects the listed tests to fail; one that passes is an error.

    An entry has to leave the list together with the fix.
    """
    listed = read_known_failures()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests that failed."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")
