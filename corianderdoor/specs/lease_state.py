"""State of the model of leadership by lease."""

from __future__ import annotations

import enum
from typing import Final, NamedTuple

NO_OWNER: Final = ""
UNSET: Final = -1


class Phase(enum.IntEnum):
    """Phase of a controller in the acquisition of the lease."""

    STANDBY = 0
    GRANTING = 1  # the grant was sent
    GRANTED = 2  # the service granted; its answer may still be under way
    UNKNOWN = 3  # the answer to the claim was lost; it may have been written
    LEADING = 4


class Controller(NamedTuple):
    """State of one controller; times are remaining ticks by its own clock.

    Attributes:
        phase: Its phase.
        left: Time until the lease may no longer be relied on.
        renewal: The new `left` if the renewal under way is answered; `UNSET`
            without a renewal.
        slack: Ticks by which its clock may still lag in this lease period.
        fence: Its fencing token.
        settle: Time until it may read an engine that does not check fencing
            tokens.
        raised: Whether the engine has received its fencing token.
        read: Whether it has read the engine.
        checked: Whether it has decided on an order that is not written yet.
        network: Time that its order may stay in the network, by the
            service's clock; `UNSET` without one.
        network_fence: Fencing token of that order.
    """

    phase: Phase = Phase.STANDBY
    left: int = 0
    renewal: int = UNSET
    slack: int = 0
    fence: int = 0
    settle: int = 0
    raised: bool = False
    read: bool = False
    checked: bool = False
    network: int = UNSET
    network_fence: int = 0


class State(NamedTuple):
    """State of the whole model; a tuple, as the checker requires.

    Attributes:
        a: The first controller.
        b: The second controller.
        owner: Controller in the leader record; empty without a record.
        version: Version of the leader record; 0 without a record.
        last_version: Highest version written so far.
        lease_a: Ticks until the service ends the lease of `a`.
        lease_b: Ticks until the service ends the lease of `b`.
        seen: Highest fencing token that the engine has accepted.
        read_fence: Highest fencing token of a leader that read the engine.
        last_leader: Highest fencing token of a leader so far.
        fence_fell: Whether a leader's token was not above all before it.
        late_order: Whether an order was written by a controller that no
            longer had the leader record.
        read_broken: Whether the engine applied an order of an earlier
            leader after a later one had read it.
    """

    a: Controller = Controller()
    b: Controller = Controller()
    owner: str = NO_OWNER
    version: int = 0
    last_version: int = 0
    lease_a: int = 0
    lease_b: int = 0
    seen: int = 0
    read_fence: int = 0
    last_leader: int = 0
    fence_fell: bool = False
    late_order: bool = False
    read_broken: bool = False


def replace_controller(state: State, name: str, ctl: Controller) -> State:
    """Returns the state with another controller `name`."""
    if name == "a":
        return state._replace(a=ctl)
    return state._replace(b=ctl)


def reset_to_standby(state: State, name: str) -> State:
    """Returns the state with a controller in standby; its order goes on."""
    ctl: Controller = getattr(state, name)
    new = Controller(network=ctl.network, network_fence=ctl.network_fence)
    return replace_controller(state, name, new)


def lease_of(state: State, name: str) -> int:
    """Returns the ticks until the service ends the lease of a controller."""
    return state.lease_a if name == "a" else state.lease_b


def set_lease(state: State, name: str, ticks: int) -> State:
    """Returns the state with the lease of a controller set to `ticks`."""
    if name == "a":
        return state._replace(lease_a=ticks)
    return state._replace(lease_b=ticks)


def advance_clocks(state: State, lag_a: bool, lag_b: bool) -> State:
    """Returns the state a tick later; clocks of controllers may lag."""
    new = state._replace(
        a=_advance_controller(state.a, lag_a),
        b=_advance_controller(state.b, lag_b),
        lease_a=max(0, state.lease_a - 1),
        lease_b=max(0, state.lease_b - 1),
    )
    if new.owner != NO_OWNER and not lease_of(new, new.owner):
        new = new._replace(owner=NO_OWNER, version=0)
    return new


def _advance_controller(ctl: Controller, lags: bool) -> Controller:
    order_expired = ctl.network == 0
    ctl = ctl._replace(
        network=max(UNSET, ctl.network - 1),
        network_fence=0 if order_expired else ctl.network_fence,
    )
    if lags:
        return ctl._replace(slack=ctl.slack - 1)
    return ctl._replace(
        left=max(0, ctl.left - 1),
        renewal=max(0, ctl.renewal - 1) if ctl.renewal != UNSET else UNSET,
        settle=max(0, ctl.settle - 1),
    )
