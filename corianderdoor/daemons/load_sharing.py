"""Enforces the load bound of servers together with peer routers."""

from __future__ import annotations

from typing import Final

import anyio
from expression import Result

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.home_placement import HomePlacement, TICK_MS
from ..core.load_sums import LoadDigest
from ..core.messages import AskPermit
from ..core.permits import (
    Ask,
    HandOff,
    PeerMessage,
    PermitAnswer,
    Release,
    TakeOver,
)
from ..core.topology import EntryHost, Server
from ..ports.loads import Loads
from ..ports.peers import Peers, Sender

REPORT_INTERVAL_MS: Final = 1_000
MAX_SENDS: Final = 2


class LoadSharing:
    """Exchanges permits and load sums between the placement and its peers."""

    __slots__ = (
        "_name",
        "_placement",
        "_peers",
        "_loads",
        "_clock",
        "_pending",
        "_entries",
    )

    def __init__(
        self,
        name: str,
        placement: HomePlacement,
        peers: Peers,
        loads: Loads,
        clock: Clock,
    ) -> None:
        self._name = name
        self._placement = placement
        self._peers = peers
        self._loads = loads
        self._clock = clock
        self._pending: dict[int, tuple[anyio.Event, list[PermitAnswer]]] = {}
        self._entries: tuple[EntryHost, ...] = ()
        peers.listen(Ask, self._receive)
        peers.listen(Release, self._receive)
        peers.listen(HandOff, self._receive)
        peers.listen(TakeOver, self._receive)
        peers.listen(LoadDigest, self._receive)
        peers.listen(PermitAnswer, self._receive_answer)

    def set_entries(self, entries: tuple[EntryHost, ...]) -> None:
        """Replaces the set of live routers, including this one."""
        for entry in entries:
            if entry.name != self._name:
                self._peers.set_address(entry.name, entry.control)
        live = {entry.name for entry in entries}
        for old in self._entries:
            if old.name not in live:
                self._peers.remove_address(old.name)
        self._entries = entries
        self._placement.set_entries(entries, self._clock.now_ms())
        self.flush()

    async def ask(self, action: AskPermit) -> PermitAnswer | None:
        """Requests a permit; resends the request after half the timeout.

        Returns:
            The answer; None if none came within the timeout.
        """
        answered = anyio.Event()
        answers: list[PermitAnswer] = []
        self._pending[action.ask.id] = (answered, answers)
        try:
            for _ in range(MAX_SENDS):
                self._peers.send(action.home, action.ask)
                limit_ms = action.timeout_ms / MAX_SENDS
                with anyio.move_on_after(limit_ms / MS_PER_SECOND):
                    await answered.wait()
                    return answers[0]
            return None
        finally:
            del self._pending[action.ask.id]

    def find_home(self, pool: str, chat: str) -> str:
        """Returns the home of the chat's first server; empty if none."""
        return self._placement.first_home(pool, chat)

    def leave(self) -> None:
        """Hands this router's servers over to their new homes."""
        others = [e for e in self._entries if e.name != self._name]
        self._placement.set_entries(others, self._clock.now_ms())
        self.flush()

    def flush(self) -> None:
        """Sends the placement's queued messages to other routers."""
        for sent in self._placement.take_outbox():
            self._peers.send(sent.peer, sent.message)

    async def run_ticks(self) -> None:
        """Runs the placement's timer until cancelled.

        Each tick sends the messages that are due, such as load digests.
        """
        while True:
            self._placement.tick(self._clock.now_ms())
            self.flush()
            await anyio.sleep(TICK_MS / MS_PER_SECOND)

    async def run_reports(self) -> None:
        """Reads the load reports of this router's servers until cancelled."""
        while True:
            began_ms = self._clock.now_ms()
            async with anyio.create_task_group() as tg:
                for state in self._placement.admission.states.values():
                    tg.start_soon(self._read_report, state.server)
            spent_ms = self._clock.now_ms() - began_ms
            left_ms = max(0, self._report_interval_ms() - spent_ms)
            await anyio.sleep(left_ms / MS_PER_SECOND)

    def _report_interval_ms(self) -> int:
        """Returns the time to the next round, in ms.

        It is short while there is no server to read from.
        """
        return (
            REPORT_INTERVAL_MS if self._placement.admission.states else TICK_MS
        )

    async def _read_report(self, server: Server) -> None:
        match await self._loads.read(server):
            case Result(tag="ok", ok=report):
                self._placement.apply_report(report, self._clock.now_ms())
            case Result(error=fault):
                log_event(
                    "load_report_failed",
                    "WARNING",
                    peer=server.name,
                    detail=fault.detail,
                )

    def _receive(self, sender: Sender, message: PeerMessage) -> None:
        self._placement.handle_message(
            sender.name, message, self._clock.now_ms()
        )
        self.flush()

    def _receive_answer(self, sender: Sender, message: PermitAnswer) -> None:
        pending = self._pending.get(message.id)
        if pending is not None:
            answered, answers = pending
            answers.append(message)
            answered.set()
