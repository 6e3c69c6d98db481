"""Model checks that streams keep their version, also without each guard."""

from minicheck import check_safety
import pytest

from corianderdoor.specs.stream_ledger import build_streams

MAX_STATES = 600_000


def is_kept(**options):
    """Returns whether no stream is joined from two versions."""
    result = check_safety(build_streams(**options), MAX_STATES)
    (found,) = result["properties"].values()
    assert result["exhaustive"] or not found["holds"]
    return found["holds"]


@pytest.mark.parametrize("first", [True, False])
def test_no_stream_is_joined_from_two_versions(first):
    assert is_kept(first=first)


@pytest.mark.parametrize(
    ("guard", "first"),
    [("gate", True), ("era", True), ("complete", False), ("fresh", True)],
)
def test_streams_are_joined_without_any_one_guard(guard, first):
    assert not is_kept(first=first, **{guard: False})
