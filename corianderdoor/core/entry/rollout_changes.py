"""Changes of rollouts that are worth a log line."""

from __future__ import annotations

from ..records import Record


class RolloutChange(Record):
    """One change, for the log.

    Attributes:
        event: Name of the log event: `rollout_ordered`, `rollout_stage`,
            `rollout_verdict` or `rollout_outcome`.
        service: Name of the service.
        to: The new version.
        fields: Further fields of the log line.
    """

    __slots__ = ("event", "service", "to", "fields")

    def __init__(
        self,
        event: str,
        service: str,
        to: str,
        fields: tuple[tuple[str, str | int], ...] = (),
    ) -> None:
        self.event = event
        self.service = service
        self.to = to
        self.fields = fields
