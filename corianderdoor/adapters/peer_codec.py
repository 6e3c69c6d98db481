"""Datagrams of the fleet: Cap'n Proto packed, signed, safe to read.

To add a kind of message:

1. define it in the core part that uses it, as a `Record`;
2. add a struct and one line of the union to `peers.capnp`, with the next
   free number;
3. in `adapters/peer_<part>.py`, register both directions:

       @encode_body.register
       def _(body: LoadSum, out: Builder) -> None:
           part = out.init("loadSum")
           part.tokens = body.tokens

       @decodes("loadSum")
       def _(raw: Reader) -> LoadSum:
           return LoadSum(raw.tokens)

4. import that module in `adapters/peer_capnp.py`, so that it registers.

A reader may raise `ValueError` on a value out of bounds; the datagram is
then dropped and counted. Lists and texts are bounded by the datagram.
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
    """Registers the reader of one field of the envelope's union."""

    def register(
        read: Callable[[Reader], Record],
    ) -> Callable[[Reader], Record]:
        _DECODERS[union_field] = read
        return read

    return register


class DatagramEncoder:
    """Makes signed datagrams of one sender."""

    __slots__ = ("_keyring", "_name", "incarnation", "_sequence")

    def __init__(self, keyring: Keyring, name: str, incarnation: int) -> None:
        self._keyring = keyring
        self._name = name
        self.incarnation = incarnation
        self._sequence = 0

    def encode(self, to: str, body: Record) -> Result[bytes, Fault]:
        """Returns the datagram that carries `body` to the daemon `to`.

        Returns:
            A `Kind.PEER_FAILED` fault if it is over the size limit.
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
    """Reads signed datagrams that were sent to one receiver.

    A datagram is taken once: the last `REPLAY_WINDOW` sequence numbers of
    each sender are kept, older ones and those of an older incarnation are
    refused. A receiver that has just started knows no numbers, so messages
    are also made to bear a repeat.
    """

    __slots__ = ("_keyring", "_name", "_windows")

    def __init__(self, keyring: Keyring, name: str) -> None:
        self._keyring = keyring
        self._name = name
        self._windows: collections.OrderedDict[str, _Window] = (
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
            return _drop("signature", "no accepted key signed it")
        try:
            return self._read(packed)
        except Exception as exc:  # whatever capnp makes of hostile bytes
            return _drop("malformed", f"{type(exc).__name__}")

    def _read(self, packed: bytes) -> Result[tuple[Sender, Record], Fault]:
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
            window = _Window(sender.incarnation)
            self._windows[sender.name] = window
        if window.incarnation > sender.incarnation:
            return False
        self._windows.move_to_end(sender.name)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return window.take(sequence)


class _Window:
    """Which of the latest sequence numbers of a sender were taken."""

    __slots__ = ("incarnation", "_top", "_bits")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._top = 0
        self._bits = 0

    def take(self, sequence: int) -> bool:
        """Takes a number; False if it was taken or is too old."""
        ahead = sequence - self._top
        if ahead > 0:
            if ahead < REPLAY_WINDOW:
                mask = (1 << REPLAY_WINDOW) - 1
                self._bits = (self._bits << ahead | 1) & mask
            else:
                self._bits = 1
            self._top = sequence
            return True
        bit = 1 << -ahead if -ahead < REPLAY_WINDOW else 0
        if not bit or self._bits & bit:
            return False
        self._bits |= bit
        return True


def read_name(text: str) -> str:
    """Returns `text` if it may be a name.

    Raises:
        ValueError: It is empty, too long or not ASCII.
    """
    if not 0 < len(text) <= MAX_NAME_CHARS or not text.isascii():
        raise ValueError("bad name")
    return str(text)


def _drop(
    reason: str, detail: str, peer: str = ""
) -> Result[tuple[Sender, Record], Fault]:
    return Error(Fault(Kind.PEER_FAILED, reason, detail, peer))
