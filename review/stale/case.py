"""Changes that no machine learns of, as an answer of the store is too long."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import time
from typing import Any
from urllib.parse import parse_qs, unquote

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import BOUNDS, build_route, Fleet, run_case  # noqa: E402
from common.http import encode_answer, read_body, read_head  # noqa: E402
from common.store import ANSWER_S, PATH, Store  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption; with
# TROUBLE=entries it has another one.
FORM = os.environ.get("TROUBLE", "1")
TROUBLE = FORM != "0"
HOSTS = 8
WORKERS = 3
# Site file: big_config, count 360; seven times.
ROUTES = 7 * 360
# Site file: config_storm, gap_s 0.06, for_s 1.5.
GAP_S = 0.06
VERSIONS = 25
# With 24 connections, 5.05 payments a second as on the sheet.
PACE_S = 4.75
WARM_UP_S = 5.0
STORM_AFTER_S = 0.1
SPAN_S = 30.0
# Of the settings: history_retention_s.
HISTORY_S = 20.0
# "At most about 500 items or 1 MB" (PROTOCOL.md).
PAGE_BYTES = 1_000_000
# Entries of another writer, and the bytes of each.
ENTRIES = 13
ENTRY_BYTES = 1_000_000


class PlainStore(Store):
    """A store that discards its history, and whose connections can fail."""

    def __init__(self) -> None:
        super().__init__()
        # When each event was written, and its text.
        self._texts: list[tuple[float, int, str]] = []
        self._dropped = 0
        self._silent: set[asyncio.StreamWriter] = set()
        self.longest = 0

    def silence(self) -> None:
        """Makes all open connections silent for good; new ones work."""
        self._silent = set(self._connections)

    def put_unreadable(self, key: str) -> None:
        """Writes bytes that can't be read, as another writer does."""
        self._put(key, bytes(ENTRY_BYTES), 0)

    def _add(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self._texts.append((now, event["revision"], json.dumps(event)))
        super()._add(event)
        self._history.clear()

    def _range(self, fields: dict[str, str]) -> tuple[int, Any]:
        status, answer = super()._range(fields)
        size = 0
        for number, item in enumerate(answer["entries"]):
            size += len(item["value"])
            if number and size > PAGE_BYTES:
                answer["entries"] = answer["entries"][:number]
                answer["has_more"] = True
                break
        return status, answer

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.line.split(" ")
                body = await read_body(reader, head)
                path, _, query = target.partition("?")
                fields = {k: v[0] for k, v in parse_qs(query, True).items()}
                call, _, argument = path.removeprefix(PATH).partition("/")
                if call == "kv-watch":
                    status, text = await self._watch_text(fields)
                else:
                    await asyncio.sleep(ANSWER_S)
                    data = json.loads(body) if body else {}
                    status, answer = self._call(
                        call, unquote(argument), fields, data
                    )
                    text = json.dumps(answer)
                if writer in self._silent:
                    await reader.read()
                    return
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                self.longest = max(self.longest, len(text))
                writer.write(encode_answer(status, headers, text.encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _watch_text(self, fields: dict[str, str]) -> tuple[int, str]:
        after = int(fields["after"])
        until = time.monotonic() + int(fields["wait_ms"]) / 1_000
        while True:
            oldest = time.monotonic() - HISTORY_S
            while self._texts and self._texts[0][0] < oldest:
                self._dropped = self._texts.pop(0)[1]
            if after < self._dropped or after > self.revision:
                return 410, "{}"
            events = [text for _, rev, text in self._texts if rev > after]
            left = until - time.monotonic()
            if events or left <= 0:
                joined = ", ".join(events)
                return 200, f'{{"events": [{joined}], "at": {self.revision}}}'
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


def build_desired(service: str, number: int) -> Any:
    """Returns a desired state in which payments go to `service`."""
    pad = [
        build_route(
            f"/lohu{place}/",
            "streaming",
            "redactor",
            host="ficu96.example",
            timeout_ms=4_000 + number,
            session_affinity=True,
            stream_resumption=True,
            target_gap_ms=400,
        )
        for place in range(ROUTES)
    ]
    services = [
        {**pays.DESIRED["services"][0], "name": name}
        for name in ("cuentas", "cuentas-2", "redactor")
    ]
    route = build_route("/registro/", "non_idempotent", service)
    return {**pays.DESIRED, "routes": [route, *pad], "services": services}


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    say = fleet.record.say
    store = fleet.store = PlainStore()
    for number in range(WORKERS):
        fleet.add_worker(f"i-{number}", "cuentas")
        fleet.add_worker(f"i-{number}-2", "cuentas-2")
    first = build_desired("cuentas", 0)
    size = len(json.dumps({"version": 4, **first}))
    say(f"desired state: {size} B, {ROUTES + 1} routes")
    await fleet.start(HOSTS, first)
    payments = pays.Payments(fleet)
    payments.start(PACE_S)
    states = [
        build_desired("cuentas-2" if number == VERSIONS else "cuentas", number)
        for number in range(1, VERSIONS + 1)
    ]
    await asyncio.sleep(WARM_UP_S)
    cut_ms = fleet.record.now_ms()
    if FORM == "entries":
        states = states[-1:]
        for number in range(ENTRIES):
            store.put_unreadable(f"servers/i-other-{number}")
        fleet.record.add("other-writer")
    elif fleet.trouble:
        store.silence()
        fleet.record.add("connections-silent")
    await asyncio.sleep(STORM_AFTER_S)
    acked_ms = 0
    for state in states:
        acked_ms = fleet.write_desired(state)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(SPAN_S)
    await payments.stop()
    old = {
        id
        for worker in fleet.workers.values()
        if worker.service == "cuentas"
        for id, _ in worker.arrivals
    }
    apply_ms = BOUNDS["configuration_apply_ms"] + BOUNDS["max_stretch_ms"]
    due_ms = max(acked_ms + apply_ms, cut_ms + BOUNDS["connectivity_ms"])
    late = [id for id, at_ms in payments.sent_ms.items() if at_ms > due_ms]
    wrong = [id for id in late if id in old]
    last_ms = max((payments.sent_ms[id] for id in wrong), default=acked_ms)
    say(f"longest answer of the store: {store.longest} B")
    say(f"payments: {len(payments.replies)}, sent after the bound {len(late)}")
    say(f"of these run by the old service: {len(wrong)}")
    say(f"the last of them sent {last_ms - acked_ms} ms after the ack")
    return not wrong


if __name__ == "__main__":
    run_case(__file__, run, 100, TROUBLE)
