"""
Wire
~~~~

Codec of the messages between hosts: packed Cap'n Proto in an envelope with
the protocol version and the sender. The conversion follows the fields of the
NamedTuples; ``peer.capnp`` has a struct of the same name for each of them.
"""

import functools
import pathlib
from collections.abc import Callable, Mapping
from typing import (
    Any,
    Literal,
    NamedTuple,
    get_args,
    get_origin,
    get_type_hints,
)

import capnp

from bergamotstream import errors, messages

PROTOCOL_VERSION = 1
WORD_BYTES = 8
# Limits decompression: packing shrinks runs of zeros, so that a small frame
# could unpack to far more than its size. Real messages pack to more than a
# fourth of their size.
MAX_EXPANSION = 4

_Converter = Callable[[Any], Any]
_Writer = Callable[[Any, Any], None]

_ENCODE_FAULTS = (
    capnp.KjException,
    AttributeError,
    OverflowError,
    TypeError,
)
_schema = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))


class Envelope(NamedTuple):
    """A decoded message and the host and cell that sent it."""

    sender: str
    cell: str
    message: messages.Message


def encode(
    sender: str, cell: str, message: messages.Message, limit_bytes: int
) -> bytes:
    """Return the packed bytes of a message.

    Raises :class:`errors.InvalidMessage` if the message does not fit the
    schema or is longer than ``limit_bytes``.
    """
    kind: Any = type(message)
    envelope = _schema.Envelope.new_message()
    envelope.version = PROTOCOL_VERSION
    envelope.sender = sender
    envelope.cell = cell
    try:
        _make_writer(kind)(
            envelope.body.init(_lower_first(kind.__name__)), message
        )
        frame = envelope.to_bytes_packed()
    except _ENCODE_FAULTS as fault:
        raise _invalid_message(
            f'{kind.__name__} does not fit: {fault}'
        ) from fault
    _check_size(len(frame), limit_bytes)
    return frame


def decode(frame: bytes, limit_bytes: int) -> Envelope:
    """Return the message in packed bytes.

    Raises :class:`errors.ProtocolMismatch` for another protocol version and
    :class:`errors.InvalidMessage` for bytes that are truncated, malformed or
    longer than ``limit_bytes``.
    """
    _check_size(len(frame), limit_bytes)
    limit_words = limit_bytes * MAX_EXPANSION // WORD_BYTES
    try:
        return _read_envelope(
            _schema.Envelope.from_bytes_packed(
                frame, traversal_limit_in_words=limit_words
            )
        )
    except (capnp.KjException, ValueError) as fault:
        raise _invalid_message(f'malformed: {_first_line(fault)}') from fault


def _read_envelope(envelope: Any) -> Envelope:
    if envelope.version != PROTOCOL_VERSION:
        raise errors.ProtocolMismatch(
            f'peer {envelope.sender!r} speaks protocol version '
            f'{envelope.version}, this host speaks {PROTOCOL_VERSION}'
        )
    field = envelope.body.which()
    kind = _classes_by_field()[str(field)]
    body = getattr(envelope.body, str(field))
    message = _make_converter(kind)(body)
    return Envelope(envelope.sender, envelope.cell, message)


@functools.cache
def _classes_by_field() -> Mapping[str, type]:
    classes = get_args(messages.Message)
    return {_lower_first(kind.__name__): kind for kind in classes}


@functools.cache
def _make_writer(kind: Any) -> _Writer:
    """Return a function that fills a pycapnp struct from a NamedTuple.

    Fields are set one by one, because pycapnp takes ten times as long to
    build a message from a dictionary.
    """
    setters = [
        functools.partial(_make_setter(hint), _camel_case(name))
        for name, hint in _hints(kind)
    ]

    def write(builder: Any, record: Any) -> None:  # noqa: WPS430
        for assign, entry in zip(setters, record, strict=True):
            assign(builder, entry)

    return write


def _make_setter(hint: Any) -> Callable[[str, Any, Any], None]:
    """Return a setter that takes the field name, the builder and the value."""
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        if hasattr(item, '_fields'):
            return functools.partial(_set_struct_list, _make_writer(item))
        return _set_scalar_list
    if hasattr(hint, '_fields'):
        return functools.partial(_set_struct, _make_writer(hint))
    return _set_scalar


def _set_scalar(field: str, builder: Any, scalar: Any) -> None:
    setattr(builder, field, scalar)


def _set_scalar_list(field: str, builder: Any, scalars: Any) -> None:
    if scalars:
        setattr(builder, field, list(scalars))


def _set_struct(write: _Writer, field: str, builder: Any, record: Any) -> None:
    write(builder.init(field), record)


def _set_struct_list(
    write: _Writer, field: str, builder: Any, entries: Any
) -> None:
    if entries:
        structs = builder.init(field, len(entries))
        for index, entry in enumerate(entries):
            write(structs[index], entry)


@functools.cache
def _make_converter(kind: Any) -> _Converter:
    """Return a function that converts a pycapnp value to a Python value."""
    origin = get_origin(kind)
    if origin is tuple:
        convert_item = _make_converter(get_args(kind)[0])
        return lambda items: tuple([convert_item(entry) for entry in items])
    if origin is Literal:
        return functools.partial(_checked_choice, get_args(kind))
    if not hasattr(kind, '_fields'):
        return kind
    converters = [
        (_camel_case(name), _make_converter(hint))
        for name, hint in _hints(kind)
    ]
    return lambda reader: kind._make(
        [convert(getattr(reader, name)) for name, convert in converters]
    )


def _hints(kind: Any) -> list[tuple[str, Any]]:
    hints = get_type_hints(kind)
    return [(name, hints[name]) for name in kind._fields]


def _checked_choice(choices: tuple[str, ...], text: str) -> str:
    if text not in choices:
        raise ValueError(f'{text!r} is not one of {choices}')
    return text


def _camel_case(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.title() for part in rest)


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]


def _check_size(size: int, limit_bytes: int) -> None:
    if size > limit_bytes:
        raise _invalid_message(
            f'{size} bytes exceed the limit of {limit_bytes}'
        )


def _first_line(fault: Exception) -> str:
    return str(fault).partition('\n')[0]


def _invalid_message(detail: str) -> errors.ServiceError:
    return errors.InvalidMessage(f'message between hosts: {detail}')
