"""Changes of the configuration: written once, also when answers are lost."""

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
    """Returns the configuration that the service holds, or an empty one."""
    found = await store.read(CONFIG_KEY)
    return found.bind(
        lambda versioned: (
            decode_config(versioned.value, versioned.version)
            if versioned
            else Result.Ok(EMPTY_CONFIG)
        )
    )


async def submit(store: Store, new: Config) -> Result[Config, Fault]:
    """Writes `new` over the revision that it carries.

    A write whose answer is lost is sent again as it is: it names the same
    change and the same revision before it, so it takes effect once. A
    conflict is judged by what the service then holds.

    Returns:
        The configuration with its revision; a `Kind.CONFLICT` fault that
        names the change that was first; a fault with `Outcome.UNKNOWN` if
        the service did not tell.
    """
    raw = encode_config(new)
    outcome = Outcome.NOT_RUN
    fault = Fault(Kind.STORE_FAILED, "submit", "not tried")
    for _ in range(WRITE_ATTEMPTS):
        match await store.write(CONFIG_KEY, raw, new.revision):
            case Result(tag="ok", ok=revision):
                return Ok(_with_revision(new, revision))
            case Result(error=fault) if fault.kind is Kind.CONFLICT:
                return await _judge(store, new, outcome)
            case Result(error=fault):
                if fault.outcome is Outcome.UNKNOWN:
                    outcome = Outcome.UNKNOWN
        await anyio.sleep(RETRY_MS / MS_PER_SECOND)
    return Error(fault.with_outcome(outcome))


async def submit_edit(
    store: Store, change_id: str, author: str, edit: Edit
) -> Result[Config, Fault]:
    """Applies a change that goes with any other, again if one was first."""
    fault = Fault(Kind.CONFLICT, "submit", "other changes kept coming first")
    for _ in range(EDIT_ATTEMPTS):
        match await read_config(store):
            case Result(tag="ok", ok=old):
                pass
            case Result(error=fault):
                return Error(fault)
        wanted = edit(old)
        new = build_change(
            old,
            change_id,
            author,
            wanted.rules_text,
            wanted.rules,
            wanted.drained_centres,
            wanted.drained_hosts,
        )
        done = await submit(store, new)
        match done:
            case Result(tag="error", error=fault) if (
                fault.kind is Kind.CONFLICT
            ):
                continue
        return done
    return Error(fault)


async def _judge(
    store: Store, new: Config, outcome: Outcome
) -> Result[Config, Fault]:
    """Tells whether `new` is what made the revision move."""
    fault = Fault(Kind.STORE_FAILED, "submit", "only stale answers")
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
