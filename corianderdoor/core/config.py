"""The operators' configuration: a rules text and the drained places."""

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
        revision: The version of its record in the key-value service; the
            only order between configurations.
        change_id: Unique id of the operator's change.
        author: Who applied it.
        rules_text: The rules as written.
        rules: The rules as parsed.
        drained_centres: Data centres taken out of service.
        drained_hosts: Hosts taken out of service.
        history: The changes before this one as "id author", newest first.
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
    """Reads a stored configuration, all or nothing.

    Args:
        raw: The stored form.
        revision: The version under which the service holds it.

    Returns:
        The configuration, or a `Kind.BAD_CONFIG` fault.
    """
    return run_to_end(decode_in_steps(raw, revision, EMPTY_CONFIG))


def decode_in_steps(
    raw: bytes, revision: int, old: Config
) -> Generator[None, None, Result[Config, Fault]]:
    """Reads a stored configuration and yields before each rule.

    Lines that `old` has too are not parsed again.
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
    """Returns the configuration that changes `old`; it names its forerunners.

    Its revision is that of `old`, which the write compares with.
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
    """Tells whether `cfg` is a change or one of its successors."""
    if cfg.change_id == change_id:
        return True
    return any(line.split(" ")[0] == change_id for line in cfg.history)


class Verdict(enum.Enum):
    """What an operator's tool may say of its change after a conflict."""

    ACCEPTED = "accepted"
    BEATEN = "beaten"
    UNKNOWN = "unknown"


def judge_change(base: int, found: int, holds: bool) -> Verdict:
    """Judges a change by what the service holds after a conflict.

    Args:
        base: Revision that the change was written over.
        found: Revision that was read; at `base` or below the reading is
            stale, for a conflict means that the revision has moved.
        holds: Whether what was read is the change or comes after it.
    """
    if holds:
        return Verdict.ACCEPTED
    if found <= base:
        return Verdict.UNKNOWN
    return Verdict.BEATEN
