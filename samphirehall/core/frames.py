"""Length-bounded msgpack frames over a byte stream.

A frame is a 4-byte big-endian length followed by a msgpack array of the
message's type name and an array of its fields in their order. Messages are
dataclasses with slots.
"""

import dataclasses
import struct
from collections.abc import Iterable
from typing import Any

import anyio
import msgpack
import msgspec
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from samphirehall.core.decoding import shorten
from samphirehall.core.errors import FrameError

MAX_FRAME_BYTES = 4 * 1024 * 1024
_MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    RecursionError,
    OverflowError,
    msgspec.MsgspecError,
    msgpack.UnpackException,
)
_LENGTH = struct.Struct(">I")
_FIELD_NAMES: dict[type, tuple[str, ...]] = {}


class FrameStream:
    """Sends and receives typed messages over one byte stream.

    Parameters
    ----------
    stream : ByteStream
        Connection to the peer; the caller closes it.
    message_types : iterable of type
        Dataclasses that may be received.
    max_bytes : int
        Longest frame accepted or sent, in bytes.
    """

    def __init__(
        self,
        stream: ByteStream,
        message_types: Iterable[type],
        *,
        max_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._types = {message_type.__name__: message_type for message_type in message_types}
        self._max_bytes = max_bytes
        self._send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message: Any) -> int:
        """Send one message; concurrent sends are serialized.

        Returns
        -------
        int
            Length of the frame in bytes.

        Raises
        ------
        FrameError
            The message is longer than the limit.
        """
        frame = encode_frame(message, max_bytes=self._max_bytes)
        async with self._send_lock:
            await self._stream.send(frame)
        self.bytes_sent += len(frame)
        return len(frame)

    async def receive(self) -> Any:
        """Receive and return the next message.

        Raises
        ------
        FrameError
            The frame is too long, malformed or of an unknown type.
        anyio.EndOfStream, anyio.IncompleteRead
            The peer closed the stream.
        """
        (length,) = _LENGTH.unpack(await self._reader.receive_exactly(_LENGTH.size))
        if length > self._max_bytes:
            raise FrameError(f"frame of {length} bytes; at most {self._max_bytes} are allowed")
        payload = await self._reader.receive_exactly(length)
        self.bytes_received += _LENGTH.size + length
        return decode_payload(payload, self._types)


def encode_frame(message: Any, *, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Encode one message as a frame, including the length prefix."""
    fields = [
        msgspec.to_builtins(getattr(message, name), builtin_types=(bytes,))
        for name in _field_names(type(message))
    ]
    payload = msgpack.packb([type(message).__name__, fields])
    if len(payload) > max_bytes:
        raise FrameError(f"message of {len(payload)} bytes; at most {max_bytes} are allowed")
    return _LENGTH.pack(len(payload)) + payload


def decode_payload(payload: bytes, message_types: dict[str, type]) -> Any:
    """Decode the payload of one frame into a message.

    Raises
    ------
    FrameError
        The payload is malformed or names an unknown type.
    """
    try:
        name, fields = msgpack.unpackb(payload)
        message_type = message_types[name]
        named = dict(zip(_field_names(message_type), fields, strict=True))
        return msgspec.convert(named, message_type)
    except KeyError as error:
        known = ", ".join(sorted(message_types))
        raise FrameError(f"unknown message type {shorten(error)}; known: {known}") from error
    except _MALFORMED_ERRORS as error:
        raise FrameError(f"malformed message: {shorten(error)}") from error


def _field_names(message_type: type) -> tuple[str, ...]:
    names = _FIELD_NAMES.get(message_type)
    if names is None:
        names = tuple(item.name for item in dataclasses.fields(message_type))
        _FIELD_NAMES[message_type] = names
    return names
