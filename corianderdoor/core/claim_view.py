"""Local replica of the claim log of one shard."""

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
    """Last known content of one slot of the ring."""

    __slots__ = ("version", "segment")

    def __init__(self) -> None:
        self.version = 0
        self.segment: Segment | None = None


class ShardView:
    """The slots as last read, and the claims that their entries result in.

    Attributes:
        claims: State of each key in the log, by digest.
        stale: Slots that must be read before the next write.
        refreshes: Number of times that reads brought the view up to date.
    """

    __slots__ = ("claims", "stale", "refreshes", "_slots", "_applied")

    def __init__(self, slots: int) -> None:
        self.claims: dict[bytes, Claim] = {}
        self.stale = set(range(slots))
        self.refreshes = 0
        self._slots = [_Slot() for _ in range(slots)]
        self._applied: list[Segment | None] = [None] * slots

    def version(self, slot: int) -> int:
        """Returns the version at which `slot` was last read or written."""
        return self._slots[slot].version

    def apply_read(
        self, number: int, version: int, value: bytes
    ) -> Result[None, Fault]:
        """Applies the content of a slot; `value` is empty if it is absent.

        The fault says that the stored segment can't be decoded.
        """
        segment: Segment | None = None
        if value:
            match decode_segment(value):
                case Result(tag="ok", ok=found):
                    segment = found
                case Result(error=fault):
                    return Error(fault)
        self.stale.discard(number)
        self._set_slot(number, version, segment)
        if not self.stale:
            self.stale = self._find_gaps()
        if not self.stale:
            self._apply_new_entries()
            self._continue_refresh(number)
        return Ok(None)

    def refresh_head(self) -> None:
        """Marks the head as stale, so that it and later segments are read."""
        number, _ = self.find_head()
        self.stale.add(number)

    def _continue_refresh(self, number: int) -> None:
        """Marks the next slot as stale if the one just read was sealed."""
        following, head = self.find_head()
        if head.entries or following == number:
            self.refreshes += 1
        else:
            self.stale.add(following)

    def apply_write(self, number: int, version: int, segment: Segment) -> None:
        """Applies the content of a slot that this router has written."""
        self._set_slot(number, version, segment)
        self._apply_new_entries()

    def _set_slot(
        self, number: int, version: int, segment: Segment | None
    ) -> None:
        self._slots[number].version = version
        self._slots[number].segment = segment

    def find_head(self) -> tuple[int, Segment]:
        """Returns the slot and the known content of the head."""
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
        """Returns whether claims may still be added to the head."""
        size = len(encode_segment(segment))
        return size < SEGMENT_BYTES or self.may_overwrite(
            segment.serial + 1, wall_ms
        )

    def may_overwrite(self, serial: int, wall_ms: int) -> bool:
        """Returns whether the slot of `serial` may be overwritten."""
        old = self._slots[serial % len(self._slots)].segment
        if old is None or not old.entries:
            return True
        newest_ms = max(entry.at_ms for entry in old.entries)
        return newest_ms + RETENTION_MS <= wall_ms

    def _apply_new_entries(self) -> None:
        """Applies entries not applied yet, oldest segment first."""
        changed = [
            (slot.segment.serial, number)
            for number, slot in enumerate(self._slots)
            if slot.segment is not None
            and slot.segment is not self._applied[number]
        ]
        for _, number in sorted(changed):
            segment, old = self._slots[number].segment, self._applied[number]
            assert segment is not None
            applied_count = 0
            if old is not None and old.serial == segment.serial:
                applied_count = len(old.entries)
            elif old is not None:
                self._evict_claims(old)
            for entry in segment.entries[applied_count:]:
                apply_entry(self.claims, entry)
            self._applied[number] = segment

    def _evict_claims(self, segment: Segment) -> None:
        """Evicts the claims of a segment that was overwritten."""
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
