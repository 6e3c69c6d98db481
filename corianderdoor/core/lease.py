"""Leader election by a lease on the key-value service.

The leader is the holder of one record that the service removes when its lease
expires. The version of that record is the fencing token: versions grow with
every write, so each leader has a larger token than all before it. The holder
measures its lease by its own monotonic clock, from before the call was sent,
less a margin for clocks that run at different rates.
"""

from __future__ import annotations

import enum
from functools import singledispatchmethod
import random
from typing import Final, Protocol

from expression import Result

from .errors import Kind, Outcome
from .lease_messages import (
    Answer,
    encode_leader,
    GrantLease,
    LeaderRead,
    LeaderRecord,
    LeaderWritten,
    LeaseAction,
    LeaseEvent,
    LeaseGranted,
    LeaseRenewed,
    ReadLeader,
    RenewLease,
    Resign,
    Tick,
    WriteLeader,
)
from .records import Record

LEADER_KEY: Final = "corianderdoor/leader"
RETRY_DIVISOR: Final = 4
JITTER_LOW: Final = 0.5
JITTER_HIGH: Final = 1.5


def lease_end_ms(sent_ms: int, ttl_ms: int, margin_ms: int) -> int:
    """Returns the time until which a lease may be relied on, in ms.

    Args:
        sent_ms: When the grant or renewal was sent, before any delay.
        ttl_ms: Length of the lease, in ms.
        margin_ms: Largest clock drift over that length, in ms.
    """
    return sent_ms + ttl_ms - margin_ms


def lease_holds(now_ms: int, end_ms: int) -> bool:
    """Returns whether a lease that is reliable until `end_ms` is valid."""
    return now_ms < end_ms


def owns_record(record_lease: str, lease: str) -> bool:
    """Returns whether a leader record was written under `lease`."""
    return bool(lease) and record_lease == lease


class LeaseTimes(Record):
    """Durations of a lease, all in ms.

    Attributes:
        ttl_ms: Length of the lease.
        margin_ms: Part of it that the holder does not rely on.
        renew_ms: Time between renewals.
        poll_ms: Mean time between polls by all standbys together.
    """

    __slots__ = ("ttl_ms", "margin_ms", "renew_ms", "poll_ms")

    def __init__(
        self, ttl_ms: int, margin_ms: int, renew_ms: int, poll_ms: int
    ) -> None:
        self.ttl_ms = ttl_ms
        self.margin_ms = margin_ms
        self.renew_ms = renew_ms
        self.poll_ms = poll_ms


class Phase(enum.Enum):
    """State of a controller in the election."""

    STANDBY = "standby"
    CLAIMING = "claiming"
    LEADING = "leading"
    STOPPED = "stopped"


class Leadership(Protocol):
    """View of a lease for code that sends orders."""

    @property
    def since_ms(self) -> int:
        """Monotonic time at which this controller became leader, in ms."""

    def fence(self, now_ms: int, needed_ms: int = 0) -> int | None:
        """Returns the fencing token if an order may be sent now."""


class LeaseKeeper:
    """Decides when to claim, renew and release the lease.

    At most one call to the service is in progress; answers to other calls
    are ignored.
    """

    __slots__ = (
        "_name",
        "_times",
        "_rng",
        "_phase",
        "_controllers",
        "_call",
        "_sent_ms",
        "_waiting",
        "_next_ms",
        "_lease",
        "_end_ms",
        "_fence",
        "_since_ms",
        "_vacant_version",
    )

    def __init__(
        self, name: str, times: LeaseTimes, rng: random.Random, now_ms: int
    ) -> None:
        self._name = name
        self._times = times
        self._rng = rng
        self._phase = Phase.STANDBY
        self._controllers = 1
        self._call = 0
        self._sent_ms = 0
        self._waiting = False
        self._next_ms = now_ms
        self._lease = ""
        self._end_ms = 0
        self._fence = 0
        self._since_ms = 0
        self._vacant_version = 0

    @property
    def phase(self) -> Phase:
        """State of this controller in the election."""
        return self._phase

    @property
    def since_ms(self) -> int:
        """Monotonic time at which this controller became leader, in ms."""
        return self._since_ms

    @property
    def next_ms(self) -> int:
        """Monotonic time at which the next `Tick` is due, in ms."""
        return self._next_ms

    def set_controllers(self, count: int, now_ms: int) -> None:
        """Sets the number of controllers that share the polling."""
        grew = count > self._controllers
        self._controllers = max(1, count)
        if grew and self._phase is Phase.STANDBY and not self._waiting:
            self._next_ms = now_ms + self._poll_delay_ms()

    def fence(self, now_ms: int, needed_ms: int = 0) -> int | None:
        """Returns the fencing token if an order may be sent now.

        Args:
            now_ms: Monotonic time right before the order, in ms.
            needed_ms: How long the lease has to stay valid, in ms.

        Returns:
            The token, or None if this controller does not lead or its lease
            ends earlier.
        """
        if self._phase is not Phase.LEADING:
            return None
        if not lease_holds(now_ms + needed_ms, self._end_ms):
            return None
        return self._fence

    def handle(
        self, event: LeaseEvent, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        """Handles one event and returns the calls to make.

        Args:
            event: What happened.
            now_ms: Monotonic time, in ms.
        """
        if isinstance(event, Answer):
            if not self._waiting or event.call != self._call:
                return ()
            self._waiting = False
        if self._phase is Phase.STOPPED:
            return ()
        if self._phase is Phase.LEADING and not lease_holds(
            now_ms, self._end_ms
        ):
            self._stand_by(now_ms)
        return self._on(event, now_ms)

    @singledispatchmethod
    def _on(self, event: LeaseEvent, now_ms: int) -> tuple[LeaseAction, ...]:
        raise TypeError(f"unknown lease event: {event!r}")

    @_on.register
    def _on_tick(self, event: Tick, now_ms: int) -> tuple[LeaseAction, ...]:
        if self._waiting or now_ms < self._next_ms:
            return ()
        if self._phase is Phase.LEADING:
            return (RenewLease(self._send(now_ms), self._lease),)
        return (ReadLeader(self._send(now_ms)),)

    @_on.register
    def _on_resign(
        self, event: Resign, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        led = self._phase is Phase.LEADING
        self._phase = Phase.STOPPED
        if not led:
            return ()
        value = encode_leader("", "")
        return (WriteLeader(self._send(now_ms), value, self._fence, ""),)

    @_on.register
    def _on_read(
        self, event: LeaderRead, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        match event.result:
            case Result(tag="ok", ok=record):
                return self._apply_record(record, now_ms)
            case _:
                return self._retry_read(now_ms)

    def _retry_read(self, now_ms: int) -> tuple[LeaseAction, ...]:
        if self._phase is not Phase.CLAIMING:
            return self._wait_for_poll(now_ms)
        if not lease_holds(now_ms, self._end_ms):
            return self._stand_by(now_ms)
        self._next_ms = now_ms + self._times.renew_ms // RETRY_DIVISOR
        return ()

    def _apply_record(
        self, record: LeaderRecord | None, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        if self._phase is Phase.LEADING:
            return ()
        if record is None or not record.holder:
            self._vacant_version = record.version if record else 0
            self._phase = Phase.CLAIMING
            call = self._send(now_ms)
            return (GrantLease(call, self._times.ttl_ms),)
        mine = owns_record(record.lease, self._lease)
        if mine and lease_holds(now_ms, self._end_ms):
            return self._lead(record.version, now_ms)
        return self._stand_by(now_ms)

    @_on.register
    def _on_granted(
        self, event: LeaseGranted, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        match event.result:
            case Result(tag="ok", ok=lease):
                return self._claim(lease, now_ms)
            case _:
                return self._stand_by(now_ms)

    def _claim(self, lease: str, now_ms: int) -> tuple[LeaseAction, ...]:
        self._lease = lease
        self._end_ms = lease_end_ms(
            self._sent_ms, self._times.ttl_ms, self._times.margin_ms
        )
        if not lease_holds(now_ms, self._end_ms):
            return self._stand_by(now_ms)
        value = encode_leader(self._name, lease)
        call = self._send(now_ms)
        return (WriteLeader(call, value, self._vacant_version, lease),)

    @_on.register
    def _on_written(
        self, event: LeaderWritten, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        match event.result:
            case Result(tag="ok", ok=version):
                return self._lead(version, now_ms)
            case Result(error=fault) if fault.outcome is Outcome.UNKNOWN:
                # The write may have taken effect: read the record to find out.
                return (ReadLeader(self._send(now_ms)),)
            case _:
                return self._stand_by(now_ms)

    @_on.register
    def _on_renewed(
        self, event: LeaseRenewed, now_ms: int
    ) -> tuple[LeaseAction, ...]:
        if self._phase is not Phase.LEADING:
            return ()
        match event.result:
            case Result(tag="ok"):
                self._end_ms = lease_end_ms(
                    self._sent_ms, self._times.ttl_ms, self._times.margin_ms
                )
                self._next_ms = self._sent_ms + self._times.renew_ms
                return ()
            case Result(error=fault) if fault.kind is Kind.LEASE_LOST:
                return self._stand_by(now_ms)
            case _:
                retry_ms = self._times.renew_ms // RETRY_DIVISOR
                self._next_ms = now_ms + retry_ms
                return ()

    def _lead(self, version: int, now_ms: int) -> tuple[LeaseAction, ...]:
        if not lease_holds(now_ms, self._end_ms):
            return self._stand_by(now_ms)
        self._phase = Phase.LEADING
        self._fence = version
        self._since_ms = now_ms
        self._next_ms = now_ms + self._times.renew_ms // 2
        return ()

    def _stand_by(self, now_ms: int) -> tuple[LeaseAction, ...]:
        self._phase = Phase.STANDBY
        return self._wait_for_poll(now_ms)

    def _wait_for_poll(self, now_ms: int) -> tuple[LeaseAction, ...]:
        self._next_ms = now_ms + self._poll_delay_ms()
        return ()

    def _poll_delay_ms(self) -> int:
        # Keeps the total poll rate independent of the number of controllers.
        mean_ms = self._times.poll_ms * self._controllers
        return int(self._rng.uniform(JITTER_LOW, JITTER_HIGH) * mean_ms)

    def _send(self, now_ms: int) -> int:
        self._call += 1
        self._sent_ms = now_ms
        self._waiting = True
        return self._call
