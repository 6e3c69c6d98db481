"""Signed datagrams between daemons, encoded as packed Cap'n Proto.

To add a message type:

1. define it as a `Record` in the core module that uses it;
2. add a struct and a line of the union to `peers.capnp`, with the next
   free number;
3. in `adapters/peer_<part>.py`, register an encoder and a decoder:

       @encode_body.register
       def _(body: LoadSum, out: Builder) -> None:
           part = out.init("loadSum")
           part.tokens = body.tokens

       @decodes("loadSum")
       def _(raw: Reader) -> LoadSum:
           return LoadSum(raw.tokens)

4. import that module in `adapters/peer_capnp.py`, which registers them.

A decoder may raise `ValueError` on a value out of bounds; the datagram is
then dropped and counted. The size of lists and texts is bounded by the
datagram.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from functools import singledispatch
import pathlib
from typing import Any, Final, TypeAlias

import capnp
from expression import Error, Ok, Result

from ..core.errors import Fault, Kind
from ..core.records import Record
from ..ports.peers import Sender
from .keyring import Keyring, SIGNATURE_BYTES

MAX_DATAGRAM_BYTES: Final = 1_200
MAX_MESSAGE_WORDS: Final = 1_024
MAX_NESTING: Final = 8
MAX_NAME_CHARS: Final = 128
REPLAY_WINDOW: Final = 64
MAX_SENDERS: Final = 4_096

capnp.remove_import_hook()
SCHEMA: Final = capnp.load(
    str(pathlib.Path(__file__).with_name("peers.capnp"))
)

Builder: TypeAlias = Any
Reader: TypeAlias = Any
_DECODERS: Final[dict[str, Callable[[Reader], Record]]] = {}


@singledispatch
def encode_body(body: Record, out: Builder) -> None:
    """Writes `body` into the union of an envelope."""
    raise TypeError(f"no codec for {type(body).__name__}")


def decodes(
    union_field: str,
) -> Callable[[Callable[[Reader], Record]], Callable[[Reader], Record]]:
    """Registers the decoder of one field of the envelope's union."""

    def register(
        read: Callable[[Reader], Record],
    ) -> Callable[[Reader], Record]:
        _DECODERS[union_field] = read
        return read

    return register


class DatagramEncoder:
    """Encodes and signs the datagrams of one sender."""

    __slots__ = ("_keyring", "_name", "incarnation", "_sequence")

    def __init__(self, keyring: Keyring, name: str, incarnation: int) -> None:
        self._keyring = keyring
        self._name = name
        self.incarnation = incarnation
        self._sequence = 0

    def encode(self, to: str, body: Record) -> Result[bytes, Fault]:
        """Returns the signed datagram with `body` for the daemon `to`.

        Returns:
            A `Kind.PEER_FAILED` fault if it exceeds `MAX_DATAGRAM_BYTES`.
        """
        self._sequence += 1
        out = SCHEMA.Envelope.new_message(
            sender=self._name,
            incarnation=self.incarnation,
            sequence=self._sequence,
        )
        encode_body(body, out)
        packed: bytes = out.to_bytes_packed()
        size = SIGNATURE_BYTES + len(packed)
        if size > MAX_DATAGRAM_BYTES:
            detail = f"{type(body).__name__} of {size} bytes"
            return Error(Fault(Kind.PEER_FAILED, "seal", detail, to))
        return Ok(self._keyring.sign(to.encode(), packed) + packed)


class DatagramDecoder:
    """Verifies and decodes signed datagrams sent to one receiver.

    A datagram is accepted once: the decoder tracks the last `REPLAY_WINDOW`
    sequence numbers of each sender and rejects older ones and those of an
    older incarnation. A receiver that has just started has no record of
    earlier numbers, so handling a message twice must be safe as well.
    """

    __slots__ = ("_keyring", "_name", "_windows")

    def __init__(self, keyring: Keyring, name: str) -> None:
        self._keyring = keyring
        self._name = name
        self._windows: collections.OrderedDict[str, _ReplayWindow] = (
            collections.OrderedDict()
        )

    def decode(self, raw: bytes) -> Result[tuple[Sender, Record], Fault]:
        """Returns the sender and the message of a datagram.

        Returns:
            A fault whose step is the reason for dropping it: "size",
            "signature", "malformed", "kind" or "replay".
        """
        if not SIGNATURE_BYTES < len(raw) <= MAX_DATAGRAM_BYTES:
            return _drop("size", f"{len(raw)} bytes")
        signature, packed = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not self._keyring.accepts(signature, self._name.encode(), packed):
            return _drop("signature", "not signed with a known key")
        try:
            return self._decode_envelope(packed)
        except Exception as exc:  # hostile bytes can raise anything in capnp
            return _drop("malformed", f"{type(exc).__name__}")

    def _decode_envelope(
        self, packed: bytes
    ) -> Result[tuple[Sender, Record], Fault]:
        envelope = SCHEMA.Envelope.from_bytes_packed(
            packed,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
            nesting_limit=MAX_NESTING,
        )
        sender = Sender(read_name(envelope.sender), envelope.incarnation)
        decoder = _DECODERS.get(str(envelope.which()))
        if decoder is None:
            return _drop("kind", str(envelope.which()), sender.name)
        body = decoder(getattr(envelope, str(envelope.which())))
        if not self._is_new(sender, envelope.sequence):
            return _drop("replay", f"{envelope.sequence}", sender.name)
        return Ok((sender, body))

    def _is_new(self, sender: Sender, sequence: int) -> bool:
        window = self._windows.get(sender.name)
        if window is None or window.incarnation < sender.incarnation:
            window = _ReplayWindow(sender.incarnation)
            self._windows[sender.name] = window
        if window.incarnation > sender.incarnation:
            return False
        self._windows.move_to_end(sender.name)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return window.accept(sequence)


class _ReplayWindow:
    """Bitmap of the latest sequence numbers accepted from a sender."""

    __slots__ = ("incarnation", "_highest", "_seen_bits")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Records a number; returns False if it is a repeat or too old."""
        ahead = sequence - self._highest
        if ahead > 0:
            if ahead < REPLAY_WINDOW:
                mask = (1 << REPLAY_WINDOW) - 1
                self._seen_bits = (self._seen_bits << ahead | 1) & mask
            else:
                self._seen_bits = 1
            self._highest = sequence
            return True
        bit = 1 << -ahead if -ahead < REPLAY_WINDOW else 0
        if not bit or self._seen_bits & bit:
            return False
        self._seen_bits |= bit
        return True


def read_name(text: str) -> str:
    """Returns `text` if it is a valid name.

    Raises:
        ValueError: `text` is empty, too long or not ASCII.
    """
    if not 0 < len(text) <= MAX_NAME_CHARS or not text.isascii():
        raise ValueError("name is empty, too long or not ASCII")
    return str(text)


def _drop(
    reason: str, detail: str, peer: str = ""
) -> Result[tuple[Sender, Record], Fault]:
    return Error(Fault(Kind.PEER_FAILED, reason, detail, peer))
