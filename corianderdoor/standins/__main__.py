"""The program `corianderdoor-standin`: one stand-in per process."""

from __future__ import annotations

import argparse
import sys

import anyio
import uvloop

from .. import VERSION
from ..adapters.serving import App, bind_socket, serve
from ..core.clock import Clock, SystemClock
from ..core.weight_loads import LoadLimits
from ..daemons.command import wait_for_signal
from .engine import EngineStandin
from .engine_orders import EngineOrders
from .hosts import HostsStandin
from .service import ServiceStandin
from .store import StoreStandin
from .weights import WeightsStandin

KINDS = ("engine", "service", "store", "hosts", "weights")


def build_app(args: argparse.Namespace) -> App:
    """Returns the ASGI application of the stand-in of kind `args.kind`."""
    clock = SystemClock()
    match args.kind:
        case "engine":
            return _build_engine(args, clock)
        case "service":
            return ServiceStandin(args.name).app()
        case "store":
            return StoreStandin(clock).app()
        case "weights":
            limits = LoadLimits(args.rate, args.rate, 1, 1)
            return WeightsStandin(clock, limits, args.size).app()
        case _:
            return HostsStandin(clock, args.lag_ms).app()


def _build_engine(args: argparse.Namespace, clock: Clock) -> App:
    engine = EngineStandin(
        args.name,
        clock,
        args.capacity,
        token_ms=args.token_ms,
        resumes=args.resumes,
    )
    orders = EngineOrders(
        clock,
        engine.faults,
        lambda: engine.in_flight,
        incarnation=clock.wall_ms(),
        fenced=not args.unfenced,
        weights_url=args.weights,
    )
    app = engine.app()
    app.router.routes.extend(orders.routes())
    return orders.refuse_when_idle(app)


async def _serve(args: argparse.Namespace) -> None:
    sock = bind_socket(args.listen, args.port)
    await serve(build_app(args), sock, wait_for_signal, graceful_s=0.1)


def main() -> int:
    """Runs the program `corianderdoor-standin`."""
    parser = argparse.ArgumentParser(
        prog="corianderdoor-standin",
        description="Runs a stand-in for a system outside the fleet.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--listen", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--capacity", type=int, default=8)
    parser.add_argument("--resumes", action="store_true")
    parser.add_argument("--token-ms", type=float, default=5.0)
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--weights", default="", help="weight store URL")
    parser.add_argument(
        "--unfenced", action="store_true", help="ignore fencing tokens"
    )
    parser.add_argument("--rate", type=int, default=10**9, help="bytes per s")
    parser.add_argument("--size", type=int, default=10**8, help="bytes")
    args = parser.parse_args()
    anyio.run(
        _serve, args, backend_options={"loop_factory": uvloop.new_event_loop}
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
