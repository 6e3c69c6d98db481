"""Load pattern: many new chats with the same first part in a moment.

Hosts hear of each other's choices after 0.4 s. On cuidamaule-large quiet-1
chats that found the first servers of their part busy went to the same next
server from all hosts: it had up to 58,000 prompt tokens to prefill, nearly
two seconds, while most servers were idle.
"""

from __future__ import annotations

from collections import Counter

from entry_builders import build_planner, build_request
import pytest

from corianderdoor.core.entry.flights import Send
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.placing import rank_by_prompt, SPREAD

# Bound of a host that has learnt no rate.
NEW_CHAT_MAX_UNREAD = 6_500
SERVERS = 59
HOSTS = 48
# The platform's bound of the load of a server: a multiple of the mean, and a
# constant.
LOAD_FACTOR, LOAD_SLACK = 2.0, 3.0


def build_chat(number: int):
    """Returns the first request of a chat with a long prompt."""
    parts = (("first", 2_500), (f"chat-{number}", 6_000), (f"own-{number}", 9))
    return build_request(id=f"r{number}", parts=parts)


def build_hosts(busy: list[str]):
    """Returns planners that know of a backlog at the servers `busy`."""
    planners = []
    for number in range(HOSTS):
        planner = build_planner(SERVERS, name=f"h{number}", hosts=HOSTS)
        backlog = dict.fromkeys(busy, NEW_CHAT_MAX_UNREAD + 1)
        loads = PeerLoads(9_000, dict.fromkeys(busy, 2), backlog)
        planner.loads.update_peer("peer", loads)
        planners.append(planner)
    return planners


@pytest.mark.parametrize("chats", [20, 48, 96])
def test_chats_that_find_the_first_servers_busy_spread_over_the_others(chats):
    servers = build_planner(SERVERS).servers.listed("llm")
    busy = [s.id for s in rank_by_prompt(build_chat(0), servers)[:SPREAD]]
    planners = build_hosts(busy)
    sent: Counter[str] = Counter()
    for number in range(chats):
        planner = planners[number % HOSTS]
        flight = planner.admit(build_chat(number), 0)
        step = planner.choose(flight, 0)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, 0)
        sent[step.server.id] += 1
    assert not set(busy) & set(sent)
    assert max(sent.values()) <= LOAD_FACTOR * chats / SERVERS + LOAD_SLACK


def test_chats_with_the_same_first_part_share_their_first_servers():
    servers = build_planner(SERVERS).servers.listed("llm")
    first = {
        frozenset(
            s.id for s in rank_by_prompt(build_chat(n), servers)[:SPREAD]
        )
        for n in range(50)
    }
    assert len(first) == 1
