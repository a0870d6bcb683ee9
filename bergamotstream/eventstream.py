"""
Event streams
~~~~~~~~~~~~~

Server-sent events on both sides: towards callers and from model engines. A
comment line carries no event and serves as a heartbeat.
Source of the format: WHATWG HTML standard, section "Server-sent events".
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from bergamotstream import outsidedata

CONTENT_TYPE = 'text/event-stream'
HEARTBEAT = b':\n\n'
DEFAULT_EVENT = 'message'
# An engine that sends one token at a time produces no longer event.
MAX_PENDING_BYTES = 262_144
_SEPARATOR = b'\n\n'


class ServerEvent(NamedTuple):
    """One event; ``body`` is its decoded JSON object."""

    event: str
    body: Mapping[str, Any]


def encode_event(event: str, body: Mapping[str, Any]) -> bytes:
    """Return the bytes of one event with a JSON object as data."""
    text = json.dumps(body, separators=(',', ':'))
    return f'event: {event}\ndata: {text}\n\n'.encode()


class EventDecoder:
    """Splits received bytes into events; buffers incomplete ones."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._pending = b''

    def feed(self, received: bytes) -> list[ServerEvent]:
        """Return the events that are complete after ``received``.

        Raises :class:`ValueError` for bytes that are not an event stream.
        """
        blocks = (self._pending + received).split(_SEPARATOR)
        self._pending = blocks.pop()
        if len(self._pending) > MAX_PENDING_BYTES:
            raise ValueError('event longer than the limit')
        decoded = [_decode_block(block) for block in blocks]
        return [event for event in decoded if event is not None]


def _decode_block(block: bytes) -> ServerEvent | None:
    event = DEFAULT_EVENT
    lines = []
    for line in block.decode().split('\n'):
        field, _, text = line.partition(':')
        if field == 'event':
            event = text.strip()
        elif field == 'data':
            lines.append(text.removeprefix(' '))
    if not lines:
        return None
    body = outsidedata.decode_json('\n'.join(lines))
    if not isinstance(body, dict):
        raise ValueError('event data is not a JSON object')
    return ServerEvent(event, body)
