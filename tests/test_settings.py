"""Tests of the settings of the daemons."""

import json

import pytest

from corianderdoor.adapters.settings import load_settings
from corianderdoor.core.errors import Kind
from corianderdoor.daemons.router import RouterSettings

GOOD = {
    "name": "entry-1",
    "data_centre": "dc-a",
    "region": "region-1",
    "listen": "127.0.0.1",
    "port": 0,
    "store_url": "http://127.0.0.1:1",
    "hosts_url": "http://127.0.0.1:2",
    "fleet_keys": ["a key for tests only"],
}


def load(tmp_path, **changes):
    """Loads the good settings with changes; None removes a key."""
    values = {**GOOD, **changes}
    values = {key: item for key, item in values.items() if item is not None}
    path = tmp_path / "router.json"
    path.write_text(json.dumps(values), encoding="utf-8")
    return load_settings(path, RouterSettings)


def test_good_settings_are_accepted(tmp_path):
    assert load(tmp_path).is_ok()


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"fleet_keys": None}, "fleet_keys"),
        ({"fleet_keys": []}, "fleet_keys"),
        ({"fleet_keys": ["change-me"]}, "fleet_keys"),
        ({"port": 70_000}, "port"),
        ({"load_bound": 0.5}, "load_bound"),
        ({"name": ""}, "name"),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, changes, named):
    loaded = load(tmp_path, **changes)
    assert loaded.error.kind is Kind.BAD_CONFIG
    assert named in loaded.error.detail
