"""Tests of the codec for messages between hosts."""

import typing

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import errors, messages, wire

LIMIT_BYTES = 262_144
KINDS = typing.get_args(messages.Message)
UINT64_FIELDS = ('fingerprint', 'prefix_hashes', 'body_digest')


def values(kind, name=''):
    """Return a strategy for any value of a field's type."""
    origin, choices = typing.get_origin(kind), typing.get_args(kind)
    if origin is tuple:
        return strategies.lists(values(choices[0], name), max_size=3).map(tuple)
    if origin is typing.Literal:
        return strategies.sampled_from(choices)
    if hasattr(kind, '_fields'):
        hints = typing.get_type_hints(kind)
        fields = [values(hints[field], field) for field in kind._fields]
        return strategies.tuples(*fields).map(kind._make)
    if kind is int:
        low, high = (0, 2**64) if name in UINT64_FIELDS else (-(2**63), 2**63)
        return strategies.integers(low, high - 1)
    if kind is float:
        return strategies.floats(allow_nan=False)
    return strategies.from_type(kind)


ANY_MESSAGE = strategies.one_of([values(kind) for kind in KINDS])
HEARTBEAT = messages.Heartbeat(
    'cell-1', 'i1', 3, 5, (messages.Echo('h1', 7),),
    (messages.Support('claims:0', 'h1'),), (), False, 2, (), (),
)  # fmt: skip
FRAME = wire.encode('h0', 'c', HEARTBEAT, LIMIT_BYTES)


@pytest.mark.parametrize('kind', KINDS)
def test_round_trip(kind):
    """Guards against a field missing or of a narrower type in the schema."""

    @hypothesis.settings(max_examples=15, derandomize=True, deadline=None)
    @hypothesis.given(values(kind))
    def check(message):
        frame = wire.encode('h0', 'c', message, LIMIT_BYTES)
        assert wire.decode(frame, LIMIT_BYTES) == ('h0', 'c', message)

    check()


def test_rejects_truncated_frames():
    """Guards against a truncated message that decodes as a shorter one."""
    for length in range(len(FRAME)):
        with pytest.raises(errors.InvalidMessage):
            wire.decode(FRAME[:length], LIMIT_BYTES)


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.integers(0, len(FRAME) - 1), strategies.binary(max_size=40)
)
def test_rejects_malformed_frames_with_typed_errors(position, garbage):
    """Guards against input that raises an untyped error or crashes."""
    end = position + len(garbage)
    for frame in (garbage, FRAME[:position] + garbage + FRAME[end:]):
        try:
            wire.decode(frame, LIMIT_BYTES)
        except (errors.InvalidMessage, errors.ProtocolMismatch):
            continue


def test_rejects_another_protocol_version(monkeypatch):
    """Guards against decoding fields of another protocol version."""
    monkeypatch.setattr(wire, 'PROTOCOL_VERSION', 2)
    newer = wire.encode('h0', 'c', HEARTBEAT, LIMIT_BYTES)
    monkeypatch.undo()
    with pytest.raises(errors.ProtocolMismatch, match='version 2'):
        wire.decode(newer, LIMIT_BYTES)


def test_rejects_oversized_messages():
    """Guards against unbounded memory, also for zeros in a small frame."""
    reply = messages.BundleReply(1, bytes(range(256)) * 1_100)
    with pytest.raises(errors.InvalidMessage, match='exceed'):
        wire.encode('h0', 'c', reply, LIMIT_BYTES)
    with pytest.raises(errors.InvalidMessage, match='exceed'):
        wire.decode(bytes(LIMIT_BYTES + 1), LIMIT_BYTES)
    zeros = wire.encode('h0', 'c', messages.BundleReply(1, bytes(2**24)), 2**24)
    assert len(zeros) < LIMIT_BYTES
    with pytest.raises(errors.InvalidMessage):
        wire.decode(zeros, LIMIT_BYTES)


def test_rejects_values_outside_the_schema():
    """Guards against an unknown choice and an integer that does not fit."""
    reply = messages.ClaimReply('claims:0', 'c', 'other')
    frame = wire.encode('h0', 'c', reply, LIMIT_BYTES)
    with pytest.raises(errors.InvalidMessage, match='other'):
        wire.decode(frame, LIMIT_BYTES)
    with pytest.raises(errors.InvalidMessage, match='fit'):
        wire.encode('h0', 'c', messages.BundleRequest(2**64), LIMIT_BYTES)
