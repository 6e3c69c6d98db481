"""What operators see of a rollout, and the stand-ins' bad versions."""

from __future__ import annotations

import json

from entry_builders import build_planner, build_server
from loguru import logger
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change
from corianderdoor.core.entry.requests import CallerRequest
from corianderdoor.core.entry.rollout_records import RolloutOrder
from corianderdoor.entry.rollout_feed import RolloutFeed
from corianderdoor.platform.changes import RolloutOrderChange
from corianderdoor.platform.rollouts import encode_order
from corianderdoor.standins.bad_versions import BadVersion, KINDS
from corianderdoor.tools.platform import summarize
from corianderdoor.tools.platform_rollouts import print_rollout

SERVER = {
    "service": "llm",
    "address": "10.0.0.2:80",
    "zone": "a",
    "slots": 8,
    "state": "available",
    "version": "v1",
    "cold_remaining_ms": 0,
    "sequence_number": 1,
    "born": 1,
}


def put(key: str, value: object, revision: int) -> Change:
    """Returns the change that writes `value` as JSON."""
    return Change(key, json.dumps(value).encode(), revision)


# Guards against operators who can't see how far a rollout is.
@pytest.mark.parametrize(
    ("state", "elapsed_ms", "stage"),
    [
        ("in_progress", 20_000, "canary, 20%"),
        ("in_progress", 60_000, "expand, 60%"),
        ("in_progress", 80_000, "full, 80%"),
        ("in_progress", -9_000, "unknown"),
        ("reverted", 80_000, "reverted"),
    ],
)
def test_status_shows_order_stage_and_outcome(
    capsys, state, elapsed_ms, stage
):
    record = {
        "order_revision": 3,
        "to": "v2",
        "started_ms": 1_000,
        "state": state,
        "rejected": ["v0"],
    }
    changes = [
        Change("op/rollout/llm", encode_order("llm", "v2", 100), 3),
        put("corianderdoor/rollouts/llm", record, 4),
        put("status/rollout/llm", {"state": state, "to": "v2"}, 4),
        put("servers/s1", SERVER, 5),
        put("servers/s2", {**SERVER, "version": "v2"}, 6),
        Change("op/rollout/other", b"{}", 7),
    ]
    summary = summarize(changes, 7, 1_000 + elapsed_ms)
    found = summary["rollouts"]["llm"]
    assert found["stage"].startswith(stage)
    assert found["versions"] == {"v1": 1, "v2": 1}
    assert [item["key"] for item in summary["unusable"]] == [
        "op/rollout/other"
    ]
    print_rollout("llm", found)
    out = capsys.readouterr().out
    assert "to v2 within 100 s (revision 3)" in out
    assert f"status: {state} v2" in out
    assert "rejected versions: v0" in out


# Guards against decisions that leave no trace in log and metrics.
def test_stages_verdicts_and_answers_are_logged_and_counted():
    planner, counters = build_planner(0, plain=0), Counters()
    feed = RolloutFeed(planner.rollouts, Peers("h1"), ManualClock(), counters)
    servers = [build_server(f"s-{v}", version=v) for v in ("v1", "v2")]
    for server in servers:
        planner.servers.put(server, 0)
    assert not feed.tick(0)
    order = RolloutOrder("llm", "v2", 60_000, 5)
    feed.apply_order(RolloutOrderChange("llm", order), False)
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        # Peers learn of the change of stage and of the verdict at once.
        assert feed.tick(100)
        assert not all(feed.tick(200 + 100 * n) for n in range(10))
        req = CallerRequest.__new__(CallerRequest)
        flight = type("Flight", (), {})()
        flight.service, flight.req, flight.sends = "llm", req, 0
        flight.route = planner.desired.find_route("example.test", "/chat/")
        flight.prefill_tokens = 0
        for number in range(60):
            server = servers[number % 2]
            planner.record_rollout_answer(
                flight, server, server.version == "v2", 5, None, 1_100
            )
        assert feed.tick(1_200)
    finally:
        logger.remove(sink)
    text = "".join(lines)
    assert "event=rollout_ordered service=llm to=v2 baseline=v1" in text
    assert "event=rollout_stage service=llm to=v2 stage=canary" in text
    assert "event=rollout_verdict service=llm to=v2 reason=" in text
    assert "answers=30 bad=30 old_answers=30 old_bad=0" in text
    totals = {
        (dict(labels)["version"], name): count
        for name in ("rollout_answers", "rollout_bad_answers")
        for labels, count in counters.read(name)
    }
    assert totals == {
        ("v2", "rollout_answers"): 30,
        ("v2", "rollout_bad_answers"): 30,
        ("former", "rollout_answers"): 30,
    }


# Guards against a stand-in whose faults do not show where they should.
@pytest.mark.parametrize("kind", KINDS)
def test_bad_version_is_bad_only_where_its_kind_says(kind):
    version = BadVersion(kind, share=0.5, after=20, busy=3)
    early = sum(version.affects("/read/x", 3) for _ in range(20))
    later = sum(version.affects("/read/x", 3) for _ in range(20))
    idle = sum(version.affects("/read/x", 1) for _ in range(20))
    other = sum(version.affects("/pay/x", 3) for _ in range(20))
    expected = {
        "fails": (10, 10, 10, 10),
        "slow": (10, 10, 10, 10),
        "later": (0, 10, 10, 10),
        "load": (10, 10, 0, 10),
        "route": (10, 10, 10, 0),
    }
    assert (early, later, idle, other) == expected[kind]
    assert version.bad_answers == sum(expected[kind])
