"""Simulates instances of core parts that exchange messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from bench.driver import Loop


class Instance(Protocol):
    """Instance of a core part.

    Attributes:
        due_ms: Time of its next wake-up, in ms.
    """

    due_ms: int

    def wake(self, now_ms: int) -> list[tuple[str, Any]]:
        """Handles a wake-up; returns (receiver, message) pairs to send."""

    def receive(
        self, sender: str, message: Any, now_ms: int
    ) -> list[tuple[str, Any]]:
        """Handles a message; returns (receiver, message) pairs to send."""


class Simulation(Loop):
    """Wakes instances when they are due and delivers their messages.

    Attributes:
        running: Running instances by name; remove one to stop or pause it.
        loss: Share of the messages that are lost.
        on_send: Called with (sender, receiver, message) at each send.
        is_cut: Returns whether the link (sender, receiver) is broken.
        lag_bounds_ms: Returns the lag's bounds on (sender, receiver), in ms.
    """

    def __init__(self, seed: int, lag_ms: tuple[int, int], loss: float):
        super().__init__(seed)
        self.running: dict[str, Instance] = {}
        self.loss = loss
        self.on_send: Callable[[str, str, Any], None] = lambda *_: None
        self.is_cut: Callable[[str, str], bool] = lambda *_: False
        self.lag_bounds_ms: Callable[[str, str], tuple[int, int]] = (
            lambda *_: lag_ms
        )

    def start(self, name: str, instance: Instance) -> None:
        """Adds a running instance, or resumes one."""
        self.running[name] = instance
        self._schedule_wake(name)

    def transmit(self, sender: str, pairs: list[tuple[str, Any]]) -> None:
        """Sends (receiver, message) pairs with lag and loss."""
        for to, message in pairs:
            self.on_send(sender, to, message)
            if self.is_cut(sender, to) or self.rng.random() < self.loss:
                continue
            lag_ms = self.rng.randint(*self.lag_bounds_ms(sender, to))
            self.after(
                lag_ms, lambda t=to, m=message: self._deliver(sender, t, m)
            )

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        if to in self.running:
            pairs = self.running[to].receive(sender, message, self.now_ms)
            self.transmit(to, pairs)
            self._schedule_wake(to)

    def _wake(self, name: str) -> None:
        if name in self.running and self.running[name].due_ms <= self.now_ms:
            self.transmit(name, self.running[name].wake(self.now_ms))
            self._schedule_wake(name)

    def _schedule_wake(self, name: str) -> None:
        due_ms = self.running[name].due_ms
        self.after(due_ms - self.now_ms, lambda: self._wake(name))
