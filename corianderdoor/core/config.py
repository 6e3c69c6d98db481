"""The operators' configuration: a rules text and the drained places."""

from __future__ import annotations

from typing import Final

from expression import Error, Ok, Result
import msgspec

from .errors import Fault, Kind
from .records import Record
from .rules import parse_rules, RuleSet

CONFIG_KEY: Final = "corianderdoor/config"
MAX_CONFIG_BYTES: Final = 1_000_000


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
    """

    __slots__ = (
        "revision",
        "change_id",
        "author",
        "rules_text",
        "rules",
        "drained_centres",
        "drained_hosts",
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
    ) -> None:
        self.revision = revision
        self.change_id = change_id
        self.author = author
        self.rules_text = rules_text
        self.rules = rules
        self.drained_centres = drained_centres
        self.drained_hosts = drained_hosts


class _ConfigBody(msgspec.Struct, forbid_unknown_fields=True):
    """The stored form of a configuration."""

    change_id: str
    author: str
    rules: str
    drained_centres: list[str] = []
    drained_hosts: list[str] = []


EMPTY_CONFIG: Final = Config(0, "", "", "", RuleSet())


def encode_config(cfg: Config) -> bytes:
    """Returns the stored form of `cfg`, without its revision."""
    body = _ConfigBody(
        change_id=cfg.change_id,
        author=cfg.author,
        rules=cfg.rules_text,
        drained_centres=sorted(cfg.drained_centres),
        drained_hosts=sorted(cfg.drained_hosts),
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
    if len(raw) > MAX_CONFIG_BYTES:
        detail = f"{len(raw)} bytes, at most {MAX_CONFIG_BYTES}"
        return Error(Fault(Kind.BAD_CONFIG, "decode-config", detail))
    try:
        body = msgspec.json.decode(raw, type=_ConfigBody)
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.BAD_CONFIG, "decode-config", str(exc)))
    match parse_rules(body.rules):
        case Result(tag="ok", ok=rules):
            return Ok(
                Config(
                    revision,
                    body.change_id,
                    body.author,
                    body.rules,
                    rules,
                    frozenset(body.drained_centres),
                    frozenset(body.drained_hosts),
                )
            )
        case Result(error=errors):
            detail = "; ".join(str(error) for error in errors)
            return Error(Fault(Kind.BAD_CONFIG, "parse-rules", detail))
