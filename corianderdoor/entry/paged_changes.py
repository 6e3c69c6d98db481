"""Applies pages of the store's items in turns of the event loop."""

from __future__ import annotations

from typing import Final

from ..adapters.work_turns import get_turns
from ..core.entry.replica import Page
from .state_applier import StateApplier

# Items that are applied at once, and the steps of work that each takes.
ITEMS_PER_SLICE: Final = 16
ITEM_STEPS: Final = 64


async def apply_page(
    applier: StateApplier, page: Page, source: str, grace_ms: int
) -> int:
    """Applies the changes of a page, slice by slice.

    The items of a slice count at once, and the page as a whole at the end.
    The first page of a replica, and the one after a restore of the store,
    are applied at once, as their items belong together.

    Args:
        applier: Applies the changes.
        page: Changes, or all items of the store.
        source: Name of the peer that sent the page, or "store".
        grace_ms: How long a removal may still be undone.

    Returns:
        The number of changes applied.
    """
    replica = applier.replica
    count = 0
    if replica.revision > 0:
        for start in range(0, len(page.changes), ITEMS_PER_SLICE):
            changes = page.changes[start : start + ITEMS_PER_SLICE]
            await get_turns().take(ITEM_STEPS * len(changes))
            if page.era != replica.era:
                break
            # Its revision counts only once all changes are there.
            part = Page(
                changes,
                replica.revision,
                False,
                page.era,
                page.restored_revision,
            )
            count += applier.apply(part, source, grace_ms)
    return count + applier.apply(page, source, grace_ms)
