"""Each request to a server names the server that is meant."""

from __future__ import annotations

import anyio
import pytest
from test_entry_path import run, total_runs


def watch_all(fleet) -> list[tuple[str, bytes | None]]:
    """Returns the servers that get requests, with the one that was meant."""
    seen: list[tuple[str, bytes | None]] = []
    for worker in fleet.workers.values():
        worker.on_request = lambda at, req, _: seen.append(
            (at.id, dict(req.headers).get(b"expected-instance"))
        )
    return seen


# Guards against requests that a server can't decline although it isn't the
# one that was meant: first sends, retries, moves and resumed streams, over
# own connections and through a peer.
@pytest.mark.parametrize("through_peer", [False, True])
@pytest.mark.parametrize(
    "path, mode",
    [("/read/x", "error"), ("/read/x", "decline")]
    + [("/pay/x", "decline"), ("/chat/x", "cut"), ("/chat/x", "decline")],
)
def test_every_request_names_the_server_that_is_meant(
    path, mode, through_peer
):
    async def scenario(fleet):
        if through_peer:
            fleet.links["host-0"].cut("refuse")
        seen = watch_all(fleet)
        await fleet.chat("host-0", "first", path)
        # The one that gets the next request, too.
        fleet.workers[seen[0][0]].mode = mode
        for number in range(12):
            await fleet.chat("host-0", f"id-{number}", path)
            await anyio.sleep(0.02)
        assert len(seen) > 13
        assert all(name == at.encode() for at, name in seen)

    run(scenario)


# Guards against a request that another worker at the address runs, also when
# a peer opens the connection.
@pytest.mark.parametrize("through_peer", [False, True])
@pytest.mark.parametrize("path", ["/read/x", "/pay/x", "/chat/x"])
def test_server_that_is_not_meant_declines_and_another_one_runs_it(
    path, through_peer
):
    async def scenario(fleet):
        if through_peer:
            fleet.links["host-0"].cut("refuse")
        seen = watch_all(fleet)
        await fleet.chat("host-0", "first", path)
        fleet.workers[seen[0][0]].mode = "moved"
        for number in range(6):
            reply = await fleet.chat("host-0", f"id-{number}", path)
            assert reply.status == 200
            assert total_runs(fleet, f"id-{number}") == 1
        assert len(seen) > 7

    run(scenario)
