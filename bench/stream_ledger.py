"""Costs of the ledger of versions and of saved streams at the large size."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Final

from corianderdoor.core.entry.servers import BackendServer, Servers
from corianderdoor.core.entry.stream_versions import StreamOrigin
from corianderdoor.core.entry.version_history import VersionHistory
from corianderdoor.core.entry.version_ledger import KnownLedger
from corianderdoor.platform.stream_records import (
    decode_begun,
    encode_begun,
    encode_ledger,
)

HOSTS: Final = 330
SERVERS: Final = 3_900
SERVICES: Final = 22
# Streams in progress at a host: 70 begin a second and last three seconds.
STREAMS: Final = 210
ROUNDS: Final = 50


def measure_us(call: Callable[[], object]) -> float:
    """Returns the mean time of a call in microseconds."""
    start = time.perf_counter()
    for _ in range(ROUNDS):
        call()
    return (time.perf_counter() - start) / ROUNDS * 1_000_000


def main() -> None:
    """Prints the costs."""
    servers, history, known = Servers(), VersionHistory(), KnownLedger()
    for number in range(SERVERS):
        version = f"v{number % 2}"
        service = f"model-{number % SERVICES}"
        entry = (f"i-{number}", service, "10.0.0.1", 80, "a", True, 128, 0, 1)
        servers.put(BackendServer(*entry, version), 0)
    ledger = known.plan_next(servers, history, 1, True, 0)
    assert ledger is not None
    known.record(ledger, 1)
    origins = [StreamOrigin("model-0", f"v{n}") for n in range(2)]
    groups = {
        origin: list(range(number * 1_000, number * 1_000 + STREAMS // 2))
        for number, origin in enumerate(origins)
    }
    value = encode_begun(groups)

    def plan() -> object:
        return known.plan_next(servers, history, 1, True, 0)

    def read_all() -> object:
        return [decode_begun(value) for _ in range(HOSTS)]

    print(f"ledger: {len(encode_ledger(ledger))} B")
    print(
        f"look for a change among {SERVERS} servers: {measure_us(plan):.0f} us"
    )
    print(f"record of {STREAMS} streams: {len(value)} B")
    print(f"encode it: {measure_us(lambda: encode_begun(groups)):.0f} us")
    print(f"read those of {HOSTS} hosts: {measure_us(read_all):.0f} us")


if __name__ == "__main__":
    main()
