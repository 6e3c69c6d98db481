"""Tests of datagrams between daemons: signatures, limits, replays."""

import anyio
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.peer_capnp import (
    bind_datagrams,
    split_control,
    UdpPeers,
)
from corianderdoor.adapters.peer_codec import (
    DatagramDecoder,
    DatagramEncoder,
    MAX_DATAGRAM_BYTES,
    SCHEMA,
)
from corianderdoor.core.membership_messages import (
    Ack,
    Gossip,
    IndirectPing,
    Nack,
    Ping,
    State,
    SyncPage,
    SyncRequest,
    Update,
)

OLD, NEW = "old-key-0123456789", "new-key-0123456789"
UPDATE = Update("r2", 1_800_000_000_000, 3, State.DEAD, "ip:1", "dc", "re")
KINDS = (
    Ping(1, Gossip(7, 2**32 - 1, (UPDATE,))),
    IndirectPing(2, "r3", Gossip()),
    Ack(3, Gossip(2**63)),
    Nack(4),
    SyncRequest(tuple(range(16))),
    SyncPage((UPDATE, UPDATE)),
)


def unwrap(result):
    """Returns the value of a result that must be ok."""
    assert result.is_ok(), result
    return result.ok


def drop_reason(decoder, raw):
    """Returns why `raw` was dropped; empty if it was accepted."""
    match decoder.decode(raw):
        case Result(tag="ok"):
            return ""
        case Result(error=fault):
            return fault.step


@pytest.mark.parametrize("message", KINDS)
def test_message_arrives_as_it_was_sent(message):
    raw = unwrap(
        DatagramEncoder(Keyring([OLD]), "r1", 5).encode("r2", message)
    )
    sender, got = unwrap(DatagramDecoder(Keyring([OLD]), "r2").decode(raw))
    assert (sender.name, sender.incarnation, got) == ("r1", 5, message)


def test_key_rotation_drops_no_message():
    steps = ([OLD], [OLD, NEW], [NEW, OLD], [NEW])
    for mine, other in zip(steps, steps[1:]):
        for keys, known in ((mine, other), (other, mine)):
            raw = unwrap(
                DatagramEncoder(Keyring(keys), "r1", 1).encode("r2", KINDS[0])
            )
            assert (
                drop_reason(DatagramDecoder(Keyring(known), "r2"), raw) == ""
            )


def test_unknown_key_other_receiver_and_replay_are_dropped():
    raw = unwrap(
        DatagramEncoder(Keyring([OLD]), "r1", 5).encode("r2", KINDS[0])
    )
    assert (
        drop_reason(DatagramDecoder(Keyring([NEW]), "r2"), raw) == "signature"
    )
    assert (
        drop_reason(DatagramDecoder(Keyring([OLD]), "r3"), raw) == "signature"
    )
    decoder = DatagramDecoder(Keyring([OLD]), "r2")
    assert drop_reason(decoder, raw) == ""
    assert drop_reason(decoder, raw) == "replay"


def test_late_datagram_is_accepted_once_older_incarnation_never():
    encoder = DatagramEncoder(Keyring([OLD]), "r1", 5)
    first, *rest = [unwrap(encoder.encode("r2", KINDS[0])) for _ in range(70)]
    decoder = DatagramDecoder(Keyring([OLD]), "r2")
    assert drop_reason(decoder, rest[30]) == ""
    assert [drop_reason(decoder, first) for _ in "ab"] == ["", "replay"]
    assert drop_reason(decoder, rest[-1]) == ""
    assert drop_reason(decoder, rest[0]) == "replay"
    newer = unwrap(
        DatagramEncoder(Keyring([OLD]), "r1", 6).encode("r2", KINDS[0])
    )
    assert drop_reason(decoder, newer) == ""
    assert drop_reason(decoder, rest[40]) == "replay"


def test_message_over_the_limit_is_not_sent():
    many = Ping(1, Gossip(1, 1, (UPDATE,) * 64))
    encoded = DatagramEncoder(Keyring([OLD]), "r1", 5).encode("r2", many)
    assert encoded.is_error()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 50))
def test_hostile_bytes_are_dropped_even_when_signed(payload):
    keyring = Keyring([OLD])
    peers = UdpPeers(keyring, "r2", 1)
    peers.handle_datagram(payload)
    peers.handle_datagram(keyring.sign(b"r2", payload) + payload)
    assert peers.counts["received"] == 2
    drops = [name for name in peers.counts if name.startswith("dropped_")]
    assert sum(peers.counts[name] for name in drops) == 2


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.sampled_from(KINDS),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=6),
)
def test_changed_bytes_never_raise(message, changes):
    keyring = Keyring([OLD])
    raw = unwrap(DatagramEncoder(keyring, "r1", 5).encode("r2", message))
    packed = bytearray(raw[20:])
    for place, value in changes:
        packed[place % len(packed)] = value
    peers = UdpPeers(keyring, "r2", 1)
    for kind in map(type, KINDS):
        peers.listen(kind, lambda sender, body: hash(body))
    peers.handle_datagram(keyring.sign(b"r2", bytes(packed)) + bytes(packed))
    assert peers.counts["failed_handler"] == 0


def test_unknown_kind_is_dropped_and_counted():
    keyring = Keyring([OLD])
    packed = SCHEMA.Envelope.new_message(sender="r1").to_bytes_packed()
    peers = UdpPeers(keyring, "r2", 1)
    peers.handle_datagram(keyring.sign(b"r2", packed) + packed)
    assert peers.counts["dropped_kind"] == 1


@pytest.mark.parametrize("text", ["", "1.2.3.4", "1.2.3.4:x", ":9", "a:70000"])
def test_wrong_control_address_is_refused(text):
    with pytest.raises(ValueError):
        split_control(text)


@pytest.mark.anyio
async def test_messages_cross_a_real_socket_and_a_closed_peer_is_no_error():
    keyring = Keyring([OLD])
    left, right = UdpPeers(keyring, "l", 1), UdpPeers(keyring, "r", 2)
    got = []
    for peers in (left, right):
        sock = bind_datagrams("127.0.0.1", 0)
        other = right if peers is left else left
        other.set_address(
            "l" if peers is left else "r",
            f"127.0.0.1:{sock.getsockname()[1]}",
        )
        await peers.open(sock)
    right.listen(Ping, lambda sender, ping: right.send("l", Ack(9, Gossip())))
    left.listen(Ack, lambda sender, ack: got.append((sender.name, ack.id)))
    assert left.send("nobody", KINDS[0]).is_error()
    assert left.send("r", KINDS[0]).is_ok()
    with anyio.fail_after(5):
        while not got:
            await anyio.sleep(0.005)
    assert got == [("r", 9)]
    right.close()
    assert left.send("r", KINDS[0]).is_ok()
    left.close()
    assert left.send("r", KINDS[0]).is_error()
