"""Servers that are silent for a second or two and then go on.

The operators count such a silence as no fault, so no answer may end by it.
"""

from __future__ import annotations

import re

from test_entry_path import run, set_modes

# A second or so, as the operators say, with a margin.
PAUSE_MS = 1_800
IDS = re.compile(rb"id: (\d+)")
ALL_IDS = [b"%d" % number for number in range(1, 7)]


def pause(fleet, *names: str) -> None:
    """Makes workers silent for `PAUSE_MS` inside each answer."""
    for name in names:
        fleet.workers[name].mode = "pause"
        fleet.workers[name].pause_ms = PAUSE_MS


# Guards against LOST: the host moved a resumable stream from a silent server
# before it knew that another would take it, and then cut the answer.
def test_begun_answer_is_not_cut_while_its_only_server_is_silent():
    async def scenario(fleet):
        pause(fleet, "engine-0")
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS

    run(scenario, engines=1, plain=0, hosts=1)


# Guards against LOST: as above, when the other servers decline the stream.
def test_begun_answer_is_not_cut_when_no_other_server_takes_it():
    async def scenario(fleet):
        set_modes(fleet, "decline", engine=True)
        pause(fleet, "engine-0")
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS

    run(scenario, engines=3, plain=0, hosts=1)


# Guards against LOST: as above, when the answer has not begun.
def test_read_gets_its_answer_after_its_only_server_was_silent():
    async def scenario(fleet):
        pause(fleet, "plain-0")
        reply = await fleet.chat("host-0", "id-1", "/read/x")
        assert (reply.status, reply.body) == (200, b"done hello")

    run(scenario, engines=0, plain=1, hosts=1)
