"""Tests of the rules text and of matching."""

import pytest

from corianderdoor.core.rules_text import (
    parse_in_steps,
    parse_rules,
    rules_by_line,
    run_to_end,
)

SANTIAGO = "during=08:00-20:00@America/Santiago"


@pytest.mark.parametrize(
    ("line", "column", "expected"),
    [
        ("path=/x -> p", 13, "a comment '# who asked'"),
        ("path=/x - p # Rosa", 9, "'->'"),
        ("path=/x -> p #", 14, "a comment '# who asked'"),
        ("path=/x -> p prio=high # Rosa", 14, "priority="),
        ("path=/x -> p priority=soon # Rosa", 23, "critical, high"),
        ("during=08:00-25:00@UTC -> p # Rosa", 8, "HH:MM-HH:MM"),
        ("during=08:00-09:00@Mars/X -> p # R", 8, "an IANA time zone"),
        ("path=/x path=/y -> p # Rosa", 9, "path= once"),
        ("path=/x -> p rate=5 # Rosa", 21, "'/s'"),
    ],
)
def test_error_names_column_and_expected(line, column, expected):
    errors = parse_rules("# head\n" + line).swap().default_value(())
    assert [error.line for error in errors] == [2]
    assert errors[0].column == column
    assert expected in errors[0].expected


def test_one_bad_line_refuses_the_whole_text():
    text = "path=/x -> p # Rosa\npath=/y -> # Luis\nnonsense\n"
    errors = parse_rules(text).swap().default_value(())
    assert [error.line for error in errors] == [2, 3]


def test_first_matching_rule_decides():
    text = (
        "workspace=maule-* path=/v1/* method=POST -> a # Rosa\n"
        "model=redactor -> b # Luis\n"
    )
    rules = parse_rules(text).default_value(None)
    assert rules.find("maule-sur", "/v1/chat", "POST", "", 0).pool == "a"
    assert rules.find("maule-sur", "/v1/chat", "GET", "", 0) is None
    assert rules.find("other", "/v1/chat", "POST", "redactor", 0).pool == "b"


@pytest.mark.parametrize(
    ("wall_s", "inside"),
    [
        # Winter, UTC-4: 08:00 local is 12:00 UTC on 2026-06-01.
        (1780315200 - 60, False),
        (1780315200, True),
        # Summer, UTC-3: 08:00 local is 11:00 UTC on 2026-12-01.
        (1796122800 - 60, False),
        (1796122800, True),
    ],
)
def test_day_span_follows_the_local_clock(wall_s, inside):
    rules = parse_rules(SANTIAGO + " -> p # Rosa").default_value(None)
    found = rules.find("w", "/", "GET", "", wall_s * 1000)
    assert (found is not None) is inside


def test_rules_kept_by_workspace_give_what_a_whole_scan_gives():
    lines = [f"workspace=w{n}* path=/{n % 3} -> p{n} # Rosa" for n in range(9)]
    rules = parse_rules("\n".join([*lines, "path=/0 -> any # Luis"]))
    rules = rules.default_value(None)
    for number in [*range(3_000), *range(10)]:
        workspace, path = f"w{number}", f"/{number % 3}"
        scanned = next(
            (
                rule
                for rule in rules.rules
                if rule.matches_workspace(workspace)
                and rule.matches_rest(path, "GET", "", 0)
            ),
            None,
        )
        assert rules.find(workspace, path, "GET", "", 0) is scanned
    assert len(rules._by_workspace) == 2_048
    assert rules == parse_rules(
        "\n".join([*lines, "path=/0 -> any # Luis"])
    ).default_value(None)


def test_rules_kept_for_workspaces_are_bounded_in_all():
    text = "\n".join(f"path=/{n} -> p # Rosa" for n in range(500))
    rules = parse_rules(text).default_value(None)
    for number in range(1_000):
        assert rules.find(f"w{number}", "/499", "GET", "", 0).line == 500
    kept = sum(map(len, rules._by_workspace.values()))
    assert kept == rules._kept_rules <= 200_000


def test_unchanged_lines_are_not_parsed_again_and_are_renumbered():
    line = "path=/v1/chat -> p # Rosa"
    old = parse_rules(line).default_value(None)
    known = rules_by_line(line, old)
    new = run_to_end(
        parse_in_steps(f"# head\n{line}\npath=/a -> q # B", known)
    )
    assert [rule.line for rule in new.ok.rules] == [2, 3]
    assert new.ok == parse_rules(f"# head\n{line}\npath=/a -> q # B").ok
    assert old.rules[0].line == 1
    bad = run_to_end(parse_in_steps(line, {line: new.ok.rules[1]}))
    assert bad.ok.rules[0].pool == "q"  # taken from what is known


def test_reading_can_pause_at_every_rule():
    text = "\n".join(["path=/v1/chat -> p # Rosa"] * 9)
    assert len(list(parse_in_steps(text, {}))) == 9
