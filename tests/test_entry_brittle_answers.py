"""What hosts read of a server's state in its answers."""

from __future__ import annotations

import pytest

from corianderdoor.platform.headers import AnswerHead


@pytest.mark.parametrize("value", [b"0", b"12", b" 7 "])
def test_announcement_of_a_brittle_server_is_read(value):
    head = AnswerHead(200, [(b"server-brittle", value)])
    assert head.rejections_per_s == int(value)
    assert head.unusable == []


# Guards against LOST: a number of thousands of digits ended the request
# with an error of the program.
@pytest.mark.parametrize(
    "value", [b"", b"x", b"-1", b"1.5", b"1e3", b"9" * 5_000, b"\xb2", b"1,2"]
)
@pytest.mark.parametrize("name", [b"server-brittle", b"instance-load"])
def test_unusable_value_is_ignored_and_noted(name, value):
    head = AnswerHead(200, [(name, value)])
    assert (head.rejections_per_s, head.load) == (None, None)
    ((noted, text),) = head.unusable
    assert noted == name.decode()
    assert len(text) <= 64


def test_huge_parts_of_a_header_are_ignored():
    huge = b"9" * 5_000
    head = AnswerHead(
        200,
        [
            (b"instance-load", huge + b",0,8"),
            (b"keep-alive", b"timeout=" + huge),
        ],
    )
    assert (head.load, head.keep_alive_s) == (None, None)


def test_different_values_in_one_answer_are_ignored():
    pairs = [(b"server-brittle", b"3"), (b"server-brittle", b"5")]
    head = AnswerHead(200, pairs)
    assert head.rejections_per_s is None
    assert len(head.unusable) == 1


def test_absent_headers_are_not_noted():
    assert AnswerHead(200, []).unusable == []
