"""Builders that the tests of entry hosts share."""

from __future__ import annotations

import random

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.planner import Planner
from corianderdoor.core.entry.requests import CallerRequest, PromptPart
from corianderdoor.core.entry.routing import (
    DEFAULT_LIMITS,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Workspace,
)
from corianderdoor.core.entry.servers import BackendServer
from corianderdoor.core.entry.windows import ColdRateLimiter, RetryBudget
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry.server_links import ServerLinks

KEY = "key-1"
COLD_MS = 3_000


def build_route(
    path="/chat/", kind=RouteKind.STREAM, service="llm", **changes
) -> Route:
    """Returns a route; `changes` replace its fields."""
    fields = {
        "name": path.strip("/"),
        "host": "example.test",
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 6_000,
        "target_latency_ms": 1_000,
        "priority": 1,
        "split": ((service, 1.0),),
        "max_attempts": 2,
        "public": False,
        "resumable": True,
    }
    return Route(**{**fields, **changes})


ROUTES = (
    build_route(),
    build_route("/once/", resumable=False),
    build_route("/pay/", RouteKind.NON_IDEMPOTENT, "plain", max_attempts=1),
    build_route("/read/", RouteKind.IDEMPOTENT, "plain"),
)


def build_desired(version=1, routes=ROUTES, keys=(KEY,), cold_per_s=9.0):
    """Returns a desired state with a model service and a plain one."""
    return DesiredState(
        version,
        routes,
        [
            Service("llm", 620, cold_per_s, 200_000, COLD_MS),
            Service("plain", 110, 0.0, 0),
        ],
        DEFAULT_LIMITS,
        {key: Workspace("acme", None) for key in keys},
        True,
    )


def build_server(id, service="llm", cold_ms=0.0, **changes) -> BackendServer:
    """Returns a server; `changes` replace its fields."""
    fields = {
        "id": id,
        "service": service,
        "host": "10.0.0.1",
        "port": 8000 + sum(id.encode()) % 1_000,
        "data_centre": "a",
        "available": True,
        "slots": 128,
        "cold_ms": cold_ms,
        "started_ms": 1,
    }
    return BackendServer(**{**fields, **changes})


def build_request(
    path="/chat/x",
    id="r1",
    parts=(("t", 2_500), ("s", 6_000), ("own", 500)),
    deadline_ms=6_000.0,
    key=KEY,
    last_event_id=None,
) -> CallerRequest:
    """Returns a request of a chat."""
    return CallerRequest(
        id,
        "POST",
        path,
        "example.test",
        key,
        deadline_ms,
        tuple(PromptPart(name, tokens) for name, tokens in parts),
        sum(tokens for _, tokens in parts),
        last_event_id,
        [(b"host", b"example.test")],
        b"body",
    )


def build_planner(servers=5, name="h1", hosts=1, plain=3) -> Planner:
    """Returns a planner with warm servers `s0`, `s1` ... and `p0` ..."""
    planner = Planner(
        name,
        "a",
        ColdRateLimiter(1.5, 5),
        RetryBudget(0.2, 56, 10_000),
        random.Random(7),
    )
    planner.hosts = [f"h{number + 1}" for number in range(hosts)]
    planner.set_desired(build_desired())
    for number in range(servers):
        planner.servers.put(build_server(f"s{number}"), 0)
    for number in range(plain):
        server = build_server(f"p{number}", "plain", slots=6)
        planner.servers.put(server, 0)
    return planner


def build_pool(clock, counters=None, connect_server=connect) -> ConnectionPool:
    """Returns a pool of connections to servers, without peers that help."""
    links = ServerLinks(clock, counters or Counters(), connect_server)
    return ConnectionPool(clock, links)
