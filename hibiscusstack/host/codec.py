"""CBOR encoding of the messages between hosts.

A frame is one CBOR array: the tag of the message class, then its fields in the order
of definition. A tag is never reused for another class.
"""

__all__ = ["MAX_FRAME_BYTES", "decode_message", "encode_message"]

from io import BytesIO
from typing import Any

import cbor2

from hibiscusstack.dispatch import messages
from hibiscusstack.dispatch.messages import Message
from hibiscusstack.exceptions import DecodeError, InvalidInputError
from hibiscusstack.host.serialization import compile_reader, compile_writer
from hibiscusstack.pool import messages as pool_messages

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32

_TAGS: dict[int, type] = {
    1: messages.Hello,
    2: messages.Heartbeat,
    3: messages.ForwardJob,
    4: messages.ForwardAnswer,
    5: messages.CancelJob,
    6: messages.PlaceBatch,
    7: messages.BatchResults,
    8: messages.CancelBatch,
    9: messages.FetchConfiguration,
    10: messages.RecordsPage,
    11: messages.QueryBatch,
    12: messages.RequestWork,
    13: pool_messages.PoolHeartbeat,
    14: pool_messages.SubmitPoolJob,
    15: pool_messages.SubmissionAnswer,
    16: pool_messages.CancelSubmission,
    17: pool_messages.AskStored,
    18: pool_messages.StoredAnswer,
    19: pool_messages.StoredJobAccepted,
    20: pool_messages.ShardHeartbeats,
}
_WRITERS = {cls: (tag, compile_writer(cls)) for tag, cls in _TAGS.items()}
_READERS = {tag: compile_reader(cls) for tag, cls in _TAGS.items()}

# CBOR tags that are rejected while decoding. Big integers (2, 3), shared values
# (28, 29) and string references (25, 256) could expand a small frame into a large or
# cyclic value. All other CBOR tags decode to types that no field accepts.
_REFUSED_CBOR_TAGS = (2, 3, 25, 28, 29, 256)


def encode_message(message: Message) -> bytes:
    """Return ``message`` encoded as a frame.

    Raises :class:`~hibiscusstack.exceptions.InvalidInputError` when a payload holds
    a value that CBOR cannot encode, or the frame would be larger than
    ``MAX_FRAME_BYTES``.

    >>> decode_message(encode_message(messages.CancelBatch(7)))
    CancelBatch(batch=7)

    The inverse is :func:`decode_message`.
    """
    tag, write = _WRITERS[type(message)]
    values = write(message)
    values.insert(0, tag)
    name = type(message).__name__
    try:
        frame = cbor2.dumps(values)
    except (cbor2.CBOREncodeError, RecursionError) as error:
        raise InvalidInputError(
            name, "values that CBOR can encode", str(error)
        ) from None
    if len(frame) > MAX_FRAME_BYTES:
        expected = f"at most {MAX_FRAME_BYTES} bytes"
        raise InvalidInputError(name, expected, len(frame))
    return frame


def decode_message(frame: bytes) -> Message:
    """Return the message encoded in ``frame``.

    Raises only :class:`~hibiscusstack.exceptions.DecodeError` for invalid bytes. Types
    must match exactly, size and nesting depth are bounded, and trailing bytes are
    rejected.

    >>> decode_message(bytes([0]))
    Traceback (most recent call last):
    ...
    hibiscusstack.exceptions.DecodeError: frame: expected a tagged array, found 'int'

    The inverse is :func:`encode_message`.
    """
    values = _load(frame)
    if type(values) is not list or not values:
        raise DecodeError("frame", "a tagged array", type(values).__name__)
    tag = values.pop(0)
    read = _READERS.get(tag) if type(tag) is int else None
    if read is None:
        raise DecodeError("frame", "a known message tag", tag)
    return read(values)


def _refuse_tag(value: Any, immutable: bool) -> Any:
    raise DecodeError("frame", "no CBOR tags", "a tag")


_SEMANTIC_DECODERS = dict.fromkeys(_REFUSED_CBOR_TAGS, _refuse_tag)


def _load(frame: bytes) -> Any:
    if len(frame) > MAX_FRAME_BYTES:
        raise DecodeError("frame", f"at most {MAX_FRAME_BYTES} bytes", len(frame))
    stream = BytesIO(frame)
    decoder = cbor2.CBORDecoder(
        stream,
        tag_hook=_refuse_tag,
        semantic_decoders=_SEMANTIC_DECODERS,
        max_depth=MAX_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
        strict_hashable_types=True,
    )
    try:
        item = decoder.decode()
    except (cbor2.CBORDecodeError, DecodeError) as error:
        raise DecodeError("frame", "one CBOR item", str(error)) from None
    if stream.tell() != len(frame):
        raise DecodeError("frame", "one CBOR item", "trailing bytes")
    return item
