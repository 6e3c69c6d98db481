"""One router's copy of the log of claims of one shard."""

from __future__ import annotations

from expression import Error, Ok, Result

from .claim_log import (
    apply_entry,
    Claim,
    decode_segment,
    encode_segment,
    ends_claim,
    find_gaps,
    RETENTION_MS,
    Segment,
    SEGMENT_BYTES,
)
from .errors import Fault


class _Slot:
    """What is known of one slot of the ring."""

    __slots__ = ("version", "segment")

    def __init__(self) -> None:
        self.version = 0
        self.segment: Segment | None = None


class ShardView:
    """The slots as last seen, and the claims that they add up to.

    Attributes:
        claims: What the log says of each key, by digest.
        stale: Slots that must be read before the next write.
        looks: How often the view was brought up to date by reading.
    """

    __slots__ = ("claims", "stale", "looks", "_slots", "_applied")

    def __init__(self, slots: int) -> None:
        self.claims: dict[bytes, Claim] = {}
        self.stale = set(range(slots))
        self.looks = 0
        self._slots = [_Slot() for _ in range(slots)]
        self._applied: list[Segment | None] = [None] * slots

    def version(self, slot: int) -> int:
        """Returns the version at which `slot` was last seen."""
        return self._slots[slot].version

    def take(
        self, number: int, version: int, value: bytes
    ) -> Result[None, Fault]:
        """Takes a slot that was read; an absent one has no value."""
        segment: Segment | None = None
        if value:
            match decode_segment(value):
                case Result(tag="ok", ok=found):
                    segment = found
                case Result(error=fault):
                    return Error(fault)
        self.stale.discard(number)
        self._put(number, version, segment)
        if not self.stale:
            self.stale = self._find_gaps()
        if not self.stale:
            self._catch_up()
            self._follow(number)
        return Ok(None)

    def look_again(self) -> None:
        """Has the head read again, and what came after it."""
        number, _ = self.pick_segment()
        self.stale.add(number)

    def _follow(self, number: int) -> None:
        """Goes on to the next slot if the one just read was sealed."""
        following, head = self.pick_segment()
        if head.entries or following == number:
            self.looks += 1
        else:
            self.stale.add(following)

    def take_own(self, number: int, version: int, segment: Segment) -> None:
        """Takes a slot that this router has written."""
        self._put(number, version, segment)
        self._catch_up()

    def _put(self, number: int, version: int, segment: Segment | None) -> None:
        self._slots[number].version = version
        self._slots[number].segment = segment

    def pick_segment(self) -> tuple[int, Segment]:
        """Returns the slot and the present content of the head."""
        head: Segment | None = None
        for slot in self._slots:
            if slot.segment and (
                head is None or slot.segment.serial > head.serial
            ):
                head = slot.segment
        if head is None:
            head = Segment(0)
        elif head.sealed:
            head = Segment(head.serial + 1)
        return head.serial % len(self._slots), head

    def has_room(self, segment: Segment, wall_ms: int) -> bool:
        """Tells whether claims may still be added to the head."""
        size = len(encode_segment(segment))
        return size < SEGMENT_BYTES or self.may_open(
            segment.serial + 1, wall_ms
        )

    def may_open(self, serial: int, wall_ms: int) -> bool:
        """Tells whether the slot of `serial` may be written over."""
        old = self._slots[serial % len(self._slots)].segment
        if old is None or not old.entries:
            return True
        newest_ms = max(entry.at_ms for entry in old.entries)
        return newest_ms + RETENTION_MS <= wall_ms

    def _catch_up(self) -> None:
        """Applies what the log has gained, oldest segment first."""
        gained = [
            (slot.segment.serial, number)
            for number, slot in enumerate(self._slots)
            if slot.segment is not None
            and slot.segment is not self._applied[number]
        ]
        for _, number in sorted(gained):
            segment, old = self._slots[number].segment, self._applied[number]
            assert segment is not None
            known = 0
            if old is not None and old.serial == segment.serial:
                known = len(old.entries)
            elif old is not None:
                self._forget(old)
            for entry in segment.entries[known:]:
                apply_entry(self.claims, entry)
            self._applied[number] = segment

    def _forget(self, segment: Segment) -> None:
        """Forgets the claims of a segment that was written over."""
        for entry in segment.entries:
            claim = self.claims.get(entry.digest)
            if claim is None or entry.outcome or not ends_claim(entry, claim):
                continue
            del self.claims[entry.digest]

    def _find_gaps(self) -> set[int]:
        serials = {
            number: (slot.segment.serial, slot.segment.sealed)
            for number, slot in enumerate(self._slots)
            if slot.segment is not None
        }
        return find_gaps(serials, len(self._slots))
