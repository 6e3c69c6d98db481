"""Drives the core without a daemon: one request, a failure and a retry.

An embedding program owns all input and output. It passes events to the
dispatcher and performs the returned actions; this one only prints them.
"""

from __future__ import annotations

import random

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.config import Config
from corianderdoor.core.dispatch import Dispatcher
from corianderdoor.core.limits import Limits
from corianderdoor.core.messages import (
    Action,
    Arrived,
    Event,
    Failed,
    Finished,
    FirstByte,
    Req,
    Send,
    Stage,
    Wait,
    Waited,
)
from corianderdoor.core.placement import BoundedPlacement
from corianderdoor.core.retry import RetryBudget
from corianderdoor.core.rules_text import parse_rules
from corianderdoor.core.topology import Server

RULES = "path=/v1/chat -> redactor idempotent=yes deadline=10s # Rosa\n"


def build_server(name: str) -> Server:
    """Returns a backend server; a real program would read a list of them."""
    return Server(
        name=name,
        host=f"host-{name}",
        data_centre="dc-a",
        pool="redactor",
        address=f"http://{name}.example:8000",
        incarnation=1,
        capacity=4,
    )


def build_dispatcher(clock: ManualClock) -> Dispatcher:
    """Returns a dispatcher with two servers and one rule in force."""
    placement = BoundedPlacement(bound=1.5)
    servers = (build_server("redactor-1"), build_server("redactor-2"))
    placement.set_servers(servers, clock.now_ms())
    dispatcher = Dispatcher(
        placement, Limits("entry-1"), RetryBudget(random.Random(1))
    )
    rules = parse_rules(RULES)
    if rules.is_error():
        raise SystemExit("\n".join(str(error) for error in rules.error))
    dispatcher.set_config(Config(1, "change-1", "Rosa", RULES, rules.ok))
    return dispatcher


def describe(action: Action) -> str:
    """Returns one line that describes an action."""
    match action:
        case Send(server=server, attempt=attempt, timeout_ms=timeout_ms):
            return (
                f"Send attempt={attempt} to={server.name} left={timeout_ms}ms"
            )
        case Wait(delay_ms=delay_ms):
            return f"Wait {delay_ms}ms"
        case _:
            return type(action).__name__


def main() -> None:
    """Prints the actions for a request whose first attempt fails."""
    clock = ManualClock()
    dispatcher = build_dispatcher(clock)

    def handle_event(event: Event) -> Action:
        now_ms = clock.now_ms()
        action = dispatcher.handle(event, now_ms, clock.wall_ms())
        name = type(event).__name__
        print(f"t={now_ms}ms {name} -> {describe(action)}")
        return action

    req = Req("r1", "workspace-1", "/v1/chat", "POST", chat="chat-7")
    handle_event(Arrived(req))
    clock.advance(5)
    wait = handle_event(Failed(req.id, Stage.CONNECT, "connection refused"))
    clock.advance(wait.delay_ms if isinstance(wait, Wait) else 0)
    handle_event(Waited(req.id))
    clock.advance(40)
    handle_event(FirstByte(req.id))
    clock.advance(200)
    handle_event(Finished(req.id, 200))
    print(f"in progress: {dispatcher.in_progress}")


if __name__ == "__main__":
    main()
