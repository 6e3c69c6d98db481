"""Configuration changes, written only once even if answers are lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

import anyio
from expression import Error, Ok, Result

from ..core.clock import MS_PER_SECOND
from ..core.config import (
    build_change,
    Config,
    CONFIG_KEY,
    decode_config,
    EMPTY_CONFIG,
    encode_config,
    includes_change,
    judge_change,
    Verdict,
)
from ..core.errors import Fault, Kind, Outcome
from ..ports.store import Store

WRITE_ATTEMPTS: Final = 5
EDIT_ATTEMPTS: Final = 5
RETRY_MS: Final = 300

Edit: TypeAlias = Callable[[Config], Config]


async def read_config(store: Store) -> Result[Config, Fault]:
    """Returns the stored configuration, or an empty one if none is stored."""
    found = await store.read(CONFIG_KEY)
    return found.bind(
        lambda versioned: (
            decode_config(versioned.value, versioned.version)
            if versioned
            else Result.Ok(EMPTY_CONFIG)
        )
    )


async def submit(store: Store, new: Config) -> Result[Config, Fault]:
    """Writes `new` if the stored revision is the one it was built from.

    A write whose answer is lost is retried unchanged: it has the same
    change id and the same base revision, so it takes effect only once.
    After a conflict, the stored configuration shows whether an earlier
    attempt took effect.

    Returns:
        The configuration with its new revision; a `Kind.CONFLICT` fault
        that names the change that came first; a fault with
        `Outcome.UNKNOWN` if it is unknown whether the write took effect.
    """
    raw = encode_config(new)
    outcome = Outcome.NOT_RUN
    fault = Fault(Kind.STORE_FAILED, "submit", "no write was attempted")
    for _ in range(WRITE_ATTEMPTS):
        match await store.write(CONFIG_KEY, raw, new.revision):
            case Result(tag="ok", ok=revision):
                return Ok(_with_revision(new, revision))
            case Result(error=fault) if fault.kind is Kind.CONFLICT:
                return await _resolve_conflict(store, new, outcome)
            case Result(error=fault):
                if fault.outcome is Outcome.UNKNOWN:
                    outcome = Outcome.UNKNOWN
        await anyio.sleep(RETRY_MS / MS_PER_SECOND)
    return Error(fault.with_outcome(outcome))


async def submit_edit(
    store: Store, change_id: str, author: str, edit: Edit
) -> Result[Config, Fault]:
    """Applies an edit to the current configuration and submits the result.

    Retries on the newer revision after a conflict, so the edit must be
    compatible with any other change.
    """
    fault = Fault(Kind.CONFLICT, "submit", "other changes kept coming first")
    for _ in range(EDIT_ATTEMPTS):
        match await read_config(store):
            case Result(tag="ok", ok=old):
                pass
            case Result(error=fault):
                return Error(fault)
        edited = edit(old)
        new = build_change(
            old,
            change_id,
            author,
            edited.rules_text,
            edited.rules,
            edited.drained_centres,
            edited.drained_hosts,
        )
        result = await submit(store, new)
        match result:
            case Result(tag="error", error=fault) if (
                fault.kind is Kind.CONFLICT
            ):
                continue
        return result
    return Error(fault)


async def _resolve_conflict(
    store: Store, new: Config, outcome: Outcome
) -> Result[Config, Fault]:
    """Finds out whether `new` is the change that moved the revision."""
    fault = Fault(
        Kind.STORE_FAILED,
        "submit",
        "the service returned only stale revisions",
    )
    for _ in range(WRITE_ATTEMPTS):
        match await read_config(store):
            case Result(tag="ok", ok=found):
                holds = includes_change(found, new.change_id)
                match judge_change(new.revision, found.revision, holds):
                    case Verdict.ACCEPTED:
                        return Ok(found)
                    case Verdict.BEATEN:
                        return Error(_describe_winner(found))
            case Result(error=fault):
                pass
        await anyio.sleep(RETRY_MS / MS_PER_SECOND)
    return Error(fault.with_outcome(outcome))


def _describe_winner(found: Config) -> Fault:
    detail = (
        f"change {found.change_id} of {found.author or 'nobody'} came first, "
        f"as revision {found.revision}"
    )
    return Fault(Kind.CONFLICT, "submit", detail)


def _with_revision(cfg: Config, revision: int) -> Config:
    return Config(
        revision,
        cfg.change_id,
        cfg.author,
        cfg.rules_text,
        cfg.rules,
        cfg.drained_centres,
        cfg.drained_hosts,
        cfg.history,
    )
