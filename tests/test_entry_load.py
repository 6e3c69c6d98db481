"""Load pattern: returning chats with payments, under one fault at a time."""

from __future__ import annotations

import json

import pytest

from corianderdoor.standins import platform_load


@pytest.mark.parametrize("trouble", platform_load.FAULTS)
def test_load_is_served_and_no_payment_runs_twice(trouble, tmp_path):
    path = tmp_path / "report.json"
    code = platform_load.main(
        ["--seconds", "2", "--rate", "30", "--hosts", "2", "--seed", "5"]
        + ["--trouble", trouble, "--json", str(path)]
    )
    report = json.loads(path.read_text("utf-8"))
    assert code == 0
    assert report["kinds"].keys() == {"chat", "pay", "read"}
    for row in report["kinds"].values():
        assert row["ran_twice"] == 0
        assert row["served"] + row["failed"] == row["asked"]
        assert row["served"] == row["asked"]
