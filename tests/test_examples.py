"""Tests that the example settings, rules and desired states are valid."""

import json
import pathlib

import pytest

from corianderdoor.adapters.settings import load_settings
from corianderdoor.core.desired import decode_desired
from corianderdoor.core.rules_text import parse_rules
from corianderdoor.daemons.controller import ControllerSettings
from corianderdoor.daemons.router import RouterSettings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["cuidadoras", "abebech"])
def test_example_files_are_valid_and_consistent(name):
    folder = EXAMPLES / name
    assert load_settings(folder / "router.json", RouterSettings).is_ok()
    controller = load_settings(folder / "controller.json", ControllerSettings)
    desired = decode_desired((folder / "desired.json").read_bytes(), 1)
    rules = parse_rules((folder / "routing.rules").read_text("utf-8"))
    deployment = json.loads((folder / "deployment.json").read_bytes())
    pools = {item["name"]: item for item in deployment["pools"]}
    assert {rule.pool for rule in rules.default_value(None).rules} == set(
        pools
    )
    assert set(desired.default_value(None).body.pools) <= set(pools)
    for pool in controller.default_value(None).fencing_pools:
        assert pools[pool]["checks"]
