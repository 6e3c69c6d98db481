"""Builders of core values for tests."""

import random

from corianderdoor.core.config import Config
from corianderdoor.core.dispatch import Dispatcher
from corianderdoor.core.limits import Limits
from corianderdoor.core.messages import Req
from corianderdoor.core.placement import BoundedPlacement
from corianderdoor.core.retry import RetryBudget
from corianderdoor.core.rules_text import parse_rules
from corianderdoor.core.topology import Server

RULES = """\
path=/v1/chat -> redactor idempotent=yes deadline=10s # Rosa
path=/payments method=POST -> cuentas idempotent=no deadline=10s # Luis
"""


def build_config(revision: int = 1, text: str = RULES) -> Config:
    """Returns a configuration with the rules in `text`."""
    rules = parse_rules(text).default_with(lambda errors: pytest_fail(errors))
    return Config(revision, f"change-{revision}", "test", text, rules)


def pytest_fail(errors: object) -> object:
    """Fails on rules that do not parse."""
    raise AssertionError(errors)


def build_server(
    name: str, pool: str = "redactor", **fields: object
) -> Server:
    """Returns a backend server with default fields."""
    values = {
        "host": f"host-{name}",
        "data_centre": "dc-a",
        "address": "http://127.0.0.1:9",
        "incarnation": 1,
        "capacity": 4,
        **fields,
    }
    return Server(name=name, pool=pool, **values)  # type: ignore[arg-type]


def build_dispatcher(
    *servers: Server, text: str = RULES, bound: float = 1.5
) -> Dispatcher:
    """Returns a dispatcher with `servers` and the rules in `text`."""
    placement = BoundedPlacement(bound)
    placement.set_servers(servers, 0)
    dispatcher = Dispatcher(
        placement, Limits("entry-1"), RetryBudget(random.Random(1))
    )
    dispatcher.set_config(build_config(1, text))
    return dispatcher


def build_req(id: str = "r1", path: str = "/v1/chat", **fields: object) -> Req:
    """Returns a request with default fields."""
    workspace = str(fields.pop("workspace", "w1"))
    return Req(id, workspace, path, "POST", **fields)  # type: ignore[arg-type]
