"""Specification of leadership by lease and of fenced orders.

Models two controllers, the key-value service and one engine. Steps interleave
in any order, so a controller may be paused between any two of its steps and
any answer may be late or lost. Time advances in ticks; a controller's clock
may lag behind the service's by up to the margin in each lease period. An
order stays in the network for at most `MAX_ORDER_TICKS` ticks after its first
byte is written.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

import minicheck

from ..core.lease import lease_end_ms, lease_holds, owns_record
from ..core.orders import accepts_fence, settle_end_ms
from ..core.records import Record
from .lease_state import (
    advance_clocks,
    Controller,
    lease_of,
    NO_OWNER,
    Phase,
    replace_controller,
    reset_to_standby,
    set_lease,
    State,
    UNSET,
)

TTL_TICKS: Final = 3
MARGIN_TICKS: Final = 1
MAX_ORDER_TICKS: Final = 1
MAX_VERSION: Final = 2
NAMES: Final = ("a", "b")


class Guards(Record):
    """The guards of the protocol; tests remove one at a time.

    The guards that are functions are those of the core.

    Attributes:
        lease_end: Returns the time until which a lease may be relied on.
        lease_holds: Returns whether the lease is still valid.
        owns_record: Returns whether a record was written under one's own
            lease.
        accepts_fence: Returns whether an engine applies an order.
        settle_end: Returns when a new leader may first read an engine.
        from_sending: A lease counts from before the call was sent.
        compare: The service writes by compare-and-swap on the version.
        read_unknown: A write without an answer is followed by a read.
        answer_only: Only an answered renewal extends the lease.
        last_check: The lease is checked right before the first byte of an
            order is written.
        raise_first: An engine that checks fencing tokens receives the new
            token before it is read.
    """

    __slots__ = (
        "lease_end",
        "lease_holds",
        "owns_record",
        "accepts_fence",
        "settle_end",
        "from_sending",
        "compare",
        "read_unknown",
        "answer_only",
        "last_check",
        "raise_first",
    )

    def __init__(self) -> None:
        self.lease_end: Callable[[int, int, int], int] = lease_end_ms
        self.lease_holds: Callable[[int, int], bool] = lease_holds
        self.owns_record: Callable[[str, str], bool] = owns_record
        self.accepts_fence: Callable[[int, int], bool] = accepts_fence
        self.settle_end: Callable[[int, int, bool], int] = settle_end_ms
        self.from_sending = True
        self.compare = True
        self.read_unknown = True
        self.answer_only = True
        self.last_check = True
        self.raise_first = True


Transitions = Iterator[tuple[str, State]]


class LeaseSpec:
    """The protocol with given guards and for one kind of engine."""

    __slots__ = ("_guards", "_checks_fence")

    def __init__(self, guards: Guards, checks_fence: bool) -> None:
        self._guards = guards
        self._checks_fence = checks_fence

    def protocol(self) -> minicheck.Protocol:
        """Returns the specification for the model checker."""
        return minicheck.Protocol(
            name="lease",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.list_steps,
            invariants={
                "one_leader": self._has_one_leader,
                "fences_grow": lambda state: not state["fence_fell"],
                "no_late_order": lambda state: not state["late_order"],
                "reads_stay_true": lambda state: not state["read_broken"],
            },
        )

    def list_steps(self, state: State) -> list[tuple[str, State]]:
        """Returns all steps that are possible in `state`."""
        found = list(self._list_ticks(state))
        for name in NAMES:
            found += self._list_lease_steps(state, name)
            found += self._list_order_steps(state, name)
        return found

    def _has_one_leader(self, state: dict[str, Controller]) -> bool:
        return not all(self._is_leading(state[name]) for name in NAMES)

    def _is_leading(self, ctl: Controller) -> bool:
        holds = self._guards.lease_holds(0, ctl.left)
        return ctl.phase is Phase.LEADING and holds

    # Time

    def _list_ticks(self, state: State) -> Transitions:
        for lag_a in (False, True):
            for lag_b in (False, True):
                if lag_a > state.a.slack or lag_b > state.b.slack:
                    continue
                yield f"tick lag={int(lag_a)}{int(lag_b)}", advance_clocks(
                    state, lag_a, lag_b
                )

    # The lease

    def _list_lease_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        match ctl.phase:
            case Phase.STANDBY:
                if state.owner == NO_OWNER:
                    left = self._guards.lease_end(0, TTL_TICKS, MARGIN_TICKS)
                    new = ctl._replace(
                        phase=Phase.GRANTING, left=left, slack=MARGIN_TICKS
                    )
                    yield f"{name} asks", replace_controller(state, name, new)
            case Phase.GRANTING:
                new = ctl._replace(phase=Phase.GRANTED, slack=MARGIN_TICKS)
                after = replace_controller(state, name, new)
                yield f"{name} granted", set_lease(after, name, TTL_TICKS)
                yield f"{name} not granted", reset_to_standby(state, name)
            case Phase.GRANTED:
                yield from self._list_claim_steps(state, name)
            case Phase.UNKNOWN:
                yield from self._list_confirm_steps(state, name)
            case Phase.LEADING:
                yield from self._list_renewal_steps(state, name)

    def _list_claim_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        if not self._guards.from_sending:
            left = self._guards.lease_end(0, TTL_TICKS, MARGIN_TICKS)
            ctl = ctl._replace(left=left)
            state = replace_controller(state, name, ctl)
        if not self._guards.lease_holds(0, ctl.left):
            yield f"{name} gives up", reset_to_standby(state, name)
            return
        free = state.owner == NO_OWNER or not self._guards.compare
        if not free or not lease_of(state, name):
            yield f"{name} is beaten", reset_to_standby(state, name)
            yield f"{name} claim unknown", self._lose_claim_answer(state, name)
            return
        if state.last_version >= MAX_VERSION:
            return
        version = state.last_version + 1
        written = state._replace(
            owner=name, version=version, last_version=version
        )
        yield f"{name} claims", self._start_leading(written, name, version)
        yield f"{name} claim lost", self._lose_claim_answer(written, name)

    def _lose_claim_answer(self, state: State, name: str) -> State:
        if not self._guards.read_unknown:
            return self._start_leading(state, name, state.last_version)
        ctl: Controller = getattr(state, name)
        return replace_controller(
            state, name, ctl._replace(phase=Phase.UNKNOWN)
        )

    def _list_confirm_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        is_own = self._guards.owns_record(state.owner, name)
        if is_own and self._guards.lease_holds(0, ctl.left):
            yield f"{name} confirms", self._start_leading(
                state, name, state.version
            )
        else:
            yield f"{name} stands by", reset_to_standby(state, name)

    def _start_leading(self, state: State, name: str, fence: int) -> State:
        ctl: Controller = getattr(state, name)
        settle = self._guards.settle_end(
            0, MAX_ORDER_TICKS, self._checks_fence
        )
        new = ctl._replace(phase=Phase.LEADING, fence=fence, settle=settle)
        return replace_controller(state, name, new)._replace(
            last_leader=max(fence, state.last_leader),
            fence_fell=state.fence_fell or fence <= state.last_leader,
        )

    def _list_renewal_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        if not self._guards.lease_holds(0, ctl.left):
            yield f"{name} lease expires", reset_to_standby(state, name)
            return
        renewed = self._guards.lease_end(0, TTL_TICKS, MARGIN_TICKS)
        if ctl.renewal != UNSET:
            left = ctl.renewal if self._guards.from_sending else renewed
            new = ctl._replace(left=left, renewal=UNSET)
            yield f"{name} renewal answered", replace_controller(
                state, name, new
            )
            lost = ctl._replace(renewal=UNSET)
            yield f"{name} renewal lost", replace_controller(state, name, lost)
        elif lease_of(state, name):
            new = ctl._replace(renewal=renewed, slack=MARGIN_TICKS)
            after = replace_controller(state, name, new)
            yield f"{name} renews", set_lease(after, name, TTL_TICKS)
        if not self._guards.answer_only:
            # The service never received the call.
            new = ctl._replace(left=renewed)
            yield f"{name} assumes renewal", replace_controller(
                state, name, new
            )

    # Orders

    def _list_order_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        if ctl.network != UNSET:
            yield from self._list_delivery_steps(state, name)
        if ctl.checked:
            yield from self._list_write_steps(state, name)
        if not self._is_leading(ctl):
            return
        if self._checks_fence and not ctl.raised:
            if self._guards.accepts_fence(state.seen, ctl.fence):
                new = ctl._replace(raised=True)
                raised = max(state.seen, ctl.fence)
                after = replace_controller(state, name, new)._replace(
                    seen=raised
                )
                yield f"{name} raises", after
        if not ctl.read and self._may_read(ctl):
            fence = max(ctl.fence, state.read_fence)
            after = replace_controller(state, name, ctl._replace(read=True))
            yield f"{name} reads", after._replace(read_fence=fence)
        if ctl.read and not ctl.checked and ctl.network == UNSET:
            new = ctl._replace(checked=True)
            yield f"{name} decides", replace_controller(state, name, new)

    def _may_read(self, ctl: Controller) -> bool:
        if self._checks_fence and self._guards.raise_first:
            return ctl.raised
        return ctl.settle <= 0

    def _list_write_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        if self._guards.last_check and not self._is_leading(ctl):
            return
        new = ctl._replace(
            checked=False, network=MAX_ORDER_TICKS, network_fence=ctl.fence
        )
        current = state.owner == name and state.version == ctl.fence
        late = state.late_order or not current
        yield f"{name} writes", replace_controller(state, name, new)._replace(
            late_order=late
        )

    def _list_delivery_steps(self, state: State, name: str) -> Transitions:
        ctl: Controller = getattr(state, name)
        fence = ctl.network_fence
        new = replace_controller(
            state, name, ctl._replace(network=UNSET, network_fence=0)
        )
        if not self._checks_fence:
            broken = state.read_broken or fence < state.read_fence
            yield f"{name} order followed", new._replace(read_broken=broken)
        elif self._guards.accepts_fence(state.seen, fence):
            broken = state.read_broken or fence < state.read_fence
            yield f"{name} order followed", new._replace(
                seen=max(state.seen, fence), read_broken=broken
            )
        else:
            yield f"{name} order refused", new
