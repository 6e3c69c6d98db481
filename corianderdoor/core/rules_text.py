"""The text of routing rules: its format and its validation.

A rules file holds one rule a line. Each rule ends in a comment naming who
asked for it.
"""

from __future__ import annotations

from collections.abc import Generator
import copy
from fnmatch import translate
import functools
import importlib.resources
import re
from typing import cast, Final, TypeAlias, TypeVar
import zoneinfo

from expression import Error, Ok, Result
from lark import Lark, Token, Tree
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedInput,
    UnexpectedToken,
)

from .clock import MS_PER_SECOND
from .records import Record
from .rules import (
    DaySpan,
    load_zone,
    MINUTES_PER_HOUR,
    Priority,
    Rule,
    RuleSet,
)

MAX_RULES: Final = 10_000
MAX_LINE_CHARS: Final = 1_000
TERMINAL_NAMES: Final = {
    "ARROW": "'->'",
    "POOL": "a pool name",
    "COMMENT": "a comment '# who asked'",
    "GLOB": "a pattern",
    "NAMES": "method names",
    "SPAN": "HH:MM-HH:MM",
    "ZONE": "@Area/City",
    "DURATION": "a duration such as 30s or 500ms",
    "NUMBER": "a number",
    "PER_SECOND": "'/s'",
    "FLAG": "yes or no",
    "PRIORITY": "critical, high, normal or low",
    "$END": "the end of the line",
}

ResultT = TypeVar("ResultT")


class RuleError(Record):
    """A fault in a rules text.

    Attributes:
        line: Line number, from 1.
        column: Column number, from 1.
        found: What stands there.
        expected: What may stand there instead.
    """

    __slots__ = ("line", "column", "found", "expected")

    def __init__(
        self, line: int, column: int, found: str, expected: str
    ) -> None:
        self.line = line
        self.column = column
        self.found = found
        self.expected = expected

    def __str__(self) -> str:
        return (
            f"line {self.line}, column {self.column}: "
            f"found {self.found}, expected {self.expected}"
        )


Parsed: TypeAlias = Result[RuleSet, tuple[RuleError, ...]]


@functools.lru_cache(maxsize=1)
def _load_parser() -> Lark:
    grammar = (
        importlib.resources.files(__package__)
        .joinpath("rules.lark")
        .read_text(encoding="utf-8")
    )
    return Lark(grammar, start="rule", parser="lalr")


def parse_rules(text: str) -> Parsed:
    """Parses a whole rules text, all or nothing.

    Args:
        text: The rules, one a line. Blank lines and lines that hold only
            a comment are skipped.

    Returns:
        The rules, or every error found, at most one a line.
    """
    return run_to_end(parse_in_steps(text, {}))


def parse_in_steps(
    text: str, known: dict[str, Rule]
) -> Generator[None, None, Parsed]:
    """Parses a rules text and yields before each line that holds a rule.

    Args:
        text: The rules, one a line.
        known: Rules parsed before, by the text of their line.
    """
    rules: list[Rule] = []
    errors: list[RuleError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        yield
        if line in known:
            rules.append(_renumber(known[line], number))
            continue
        match _parse_line(line, number):
            case Result(tag="ok", ok=rule):
                rules.append(rule)
            case Result(error=error):
                errors.append(error)
    if len(rules) > MAX_RULES:
        errors.append(
            RuleError(1, 1, f"{len(rules)} rules", f"at most {MAX_RULES}")
        )
    if errors:
        return Error(tuple(errors))
    return Ok(RuleSet(tuple(rules)))


def run_to_end(steps: Generator[None, None, ResultT]) -> ResultT:
    """Runs a generator of steps to its end at once; returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(ResultT, end.value)


def rules_by_line(text: str, rules: RuleSet) -> dict[str, Rule]:
    """Returns the rules of a parsed text by the text of their line."""
    lines = text.splitlines()
    return {lines[rule.line - 1]: rule for rule in rules.rules}


def _renumber(rule: Rule, number: int) -> Rule:
    if rule.line == number:
        return rule
    moved = copy.copy(rule)
    moved.line = number
    return moved


def _parse_line(line: str, number: int) -> Result[Rule, RuleError]:
    if len(line) > MAX_LINE_CHARS:
        found = f"{len(line)} characters"
        return Error(
            RuleError(
                number, MAX_LINE_CHARS, found, f"at most {MAX_LINE_CHARS}"
            )
        )
    try:
        tree = _load_parser().parse(line)
    except UnexpectedInput as exc:
        return Error(_describe(exc, line, number))
    return _build_rule(tree, number)


def _describe(exc: UnexpectedInput, line: str, number: int) -> RuleError:
    accepted: set[str] = set()
    found = "the end of the line"
    column = exc.column if exc.column and exc.column > 0 else len(line) + 1
    if isinstance(exc, UnexpectedToken):
        accepted = set(exc.accepts or exc.expected)
        if exc.token.type != "$END":
            found = repr(str(exc.token))
    elif isinstance(exc, UnexpectedCharacters):
        accepted = set(exc.allowed or ())
        found = repr(line[column - 1 :].split(" ")[0])
    elif isinstance(exc, UnexpectedEOF):
        accepted = set(exc.expected)
    if found == "the end of the line":
        column = len(line) + 1
    names = sorted(_name_terminal(terminal) for terminal in accepted)
    return RuleError(number, column, found, " or ".join(names))


def _name_terminal(terminal: str) -> str:
    if terminal.endswith("_KEY"):
        return terminal.removesuffix("_KEY").lower() + "="
    return TERMINAL_NAMES.get(terminal, terminal)


def _build_rule(tree: Tree[Token], number: int) -> Result[Rule, RuleError]:
    rule = Rule(number)
    seen: set[str] = set()
    for child in tree.children:
        if isinstance(child, Token):
            _set_token(rule, child)
            continue
        key = child.children[0]
        assert isinstance(key, Token)
        if str(child.data) in seen:
            return Error(
                RuleError(
                    number,
                    key.column or 1,
                    f"a second {key!s}",
                    f"{key!s} once",
                )
            )
        seen.add(str(child.data))
        values = [str(value) for value in child.children[1:]]
        problem = _set_field(rule, str(child.data), values)
        if problem:
            found = "".join(values)
            return Error(
                RuleError(number, key.end_column or 1, repr(found), problem)
            )
    return Ok(rule)


def _set_token(rule: Rule, token: Token) -> None:
    if token.type == "POOL":
        rule.pool = str(token)
    elif token.type == "COMMENT":
        rule.asked_by = str(token).lstrip("#").strip()


def _set_field(rule: Rule, name: str, values: list[str]) -> str:
    """Sets a field of `rule`; returns what was expected on an error."""
    value = values[0]
    match name:
        case "workspace" | "path" | "model":
            setattr(rule, name, re.compile(translate(value)))
        case "method":
            rule.methods = frozenset(value.split(","))
        case "during":
            return _set_during(rule, value, values[1])
        case "idempotent":
            rule.idempotent = value == "yes"
        case "priority":
            rule.priority = Priority[value.upper()]
        case "deadline":
            rule.deadline_ms = _parse_duration_ms(value)
        case "concurrency" | "rate":
            setattr(rule, name, int(value))
    return ""


def _set_during(rule: Rule, span: str, zone: str) -> str:
    name = zone.removeprefix("@")
    try:
        load_zone(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError):
        return "an IANA time zone such as @America/Santiago"
    start, end = (_parse_minute(part) for part in span.split("-"))
    if start == end:
        return "two different times"
    rule.during = DaySpan(start, end, name)
    return ""


def _parse_minute(text: str) -> int:
    hours, minutes = text.split(":")
    return int(hours) * MINUTES_PER_HOUR + int(minutes)


def _parse_duration_ms(text: str) -> int:
    if text.endswith("ms"):
        return int(text.removesuffix("ms"))
    return int(text.removesuffix("s")) * MS_PER_SECOND
