"""The operators' configuration: rules, drained data centres and hosts."""

from __future__ import annotations

from collections.abc import Generator
import enum
from typing import Final

from expression import Error, Ok, Result
import msgspec

from .errors import Fault, Kind
from .records import Record
from .rules import RuleSet
from .rules_text import parse_in_steps, rules_by_line, run_to_end

CONFIG_KEY: Final = "corianderdoor/config"
MAX_CONFIG_BYTES: Final = 1_000_000
MAX_HISTORY: Final = 16


class Config(Record):
    """One accepted configuration.

    Attributes:
        revision: Version of its record in the key-value service. It alone
            orders configurations.
        change_id: Unique id of the operator's change.
        author: Who applied the change.
        rules_text: The rules as written.
        rules: The rules as parsed.
        drained_centres: Names of the data centres taken out of service.
        drained_hosts: Names of the hosts taken out of service.
        history: Previous changes as "id author", newest first, at most
            `MAX_HISTORY`.
    """

    __slots__ = (
        "revision",
        "change_id",
        "author",
        "rules_text",
        "rules",
        "drained_centres",
        "drained_hosts",
        "history",
    )

    def __init__(
        self,
        revision: int,
        change_id: str,
        author: str,
        rules_text: str,
        rules: RuleSet,
        drained_centres: frozenset[str] = frozenset(),
        drained_hosts: frozenset[str] = frozenset(),
        history: tuple[str, ...] = (),
    ) -> None:
        self.revision = revision
        self.change_id = change_id
        self.author = author
        self.rules_text = rules_text
        self.rules = rules
        self.drained_centres = drained_centres
        self.drained_hosts = drained_hosts
        self.history = history


class _ConfigBody(msgspec.Struct, forbid_unknown_fields=True):
    """The stored form of a configuration."""

    change_id: str
    author: str
    rules: str
    drained_centres: list[str] = []
    drained_hosts: list[str] = []
    history: list[str] = []


EMPTY_CONFIG: Final = Config(0, "", "", "", RuleSet())


def encode_config(cfg: Config) -> bytes:
    """Returns the stored form of `cfg`, without its revision."""
    body = _ConfigBody(
        change_id=cfg.change_id,
        author=cfg.author,
        rules=cfg.rules_text,
        drained_centres=sorted(cfg.drained_centres),
        drained_hosts=sorted(cfg.drained_hosts),
        history=list(cfg.history),
    )
    return msgspec.json.encode(body)


def decode_config(raw: bytes, revision: int) -> Result[Config, Fault]:
    """Decodes a stored configuration completely or not at all.

    Args:
        raw: The stored form.
        revision: Version of the record in the key-value service.

    Returns:
        The configuration, or a `Kind.BAD_CONFIG` fault.
    """
    return run_to_end(decode_in_steps(raw, revision, EMPTY_CONFIG))


def decode_in_steps(
    raw: bytes, revision: int, old: Config
) -> Generator[None, None, Result[Config, Fault]]:
    """Decodes a stored configuration and yields before each rule.

    Lines that are also in `old` are not parsed again.
    """
    if len(raw) > MAX_CONFIG_BYTES:
        detail = f"{len(raw)} bytes, at most {MAX_CONFIG_BYTES}"
        return Error(Fault(Kind.BAD_CONFIG, "decode-config", detail))
    try:
        body = msgspec.json.decode(raw, type=_ConfigBody)
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.BAD_CONFIG, "decode-config", str(exc)))
    yield
    known = rules_by_line(old.rules_text, old.rules)
    yield
    parsed = yield from parse_in_steps(body.rules, known)
    match parsed:
        case Result(tag="ok", ok=rules):
            return Ok(_build_config(body, revision, rules))
        case Result(error=errors):
            detail = "; ".join(str(error) for error in errors)
            return Error(Fault(Kind.BAD_CONFIG, "parse-rules", detail))


def _build_config(body: _ConfigBody, revision: int, rules: RuleSet) -> Config:
    return Config(
        revision,
        body.change_id,
        body.author,
        body.rules,
        rules,
        frozenset(body.drained_centres),
        frozenset(body.drained_hosts),
        tuple(body.history),
    )


def build_change(
    old: Config,
    change_id: str,
    author: str,
    rules_text: str,
    rules: RuleSet,
    drained_centres: frozenset[str],
    drained_hosts: frozenset[str],
) -> Config:
    """Returns the configuration that replaces `old`, with its history.

    Its revision is that of `old`: the write is a compare-and-set on it.
    """
    history = old.history
    if old.change_id:
        history = (f"{old.change_id} {old.author}", *history)[:MAX_HISTORY]
    return Config(
        old.revision,
        change_id,
        author,
        rules_text,
        rules,
        drained_centres,
        drained_hosts,
        history,
    )


def includes_change(cfg: Config, change_id: str) -> bool:
    """Returns whether `cfg` is the change or a successor of it.

    A successor is recognised only while its history names the change.
    """
    if cfg.change_id == change_id:
        return True
    return any(line.split(" ")[0] == change_id for line in cfg.history)


class Verdict(enum.Enum):
    """What an operator's tool may report of its change after a conflict."""

    ACCEPTED = "accepted"
    BEATEN = "beaten"
    UNKNOWN = "unknown"


def judge_change(base: int, found: int, holds: bool) -> Verdict:
    """Returns the verdict on a change whose write met a conflict.

    Args:
        base: Revision that the write was to replace.
        found: Revision read after the conflict. At `base` or below the read
            was stale, since a conflict means that the revision has moved on.
        holds: Whether the configuration read is the change or a successor.
    """
    if holds:
        return Verdict.ACCEPTED
    if found <= base:
        return Verdict.UNKNOWN
    return Verdict.BEATEN
