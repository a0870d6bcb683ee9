"""
Relayed events
~~~~~~~~~~~~~~

Splits the bytes of an event stream into complete events, so that a stream
whose target fails can resume at another one after the last complete event.
"""

import re
from collections.abc import Iterator
from typing import Final, NamedTuple

from bergamotstream.forwarding import answerlimits

# Events that are handled before other tasks of the host get a turn.
EVENTS_IN_TURN: Final = 64
# A line end and blank lines, with any of the three line ends of the format. A
# carriage return at the end of the bytes may be the first half of a line end. A
# pattern that begins with a set is searched fast.
_END_OF_EVENT: Final = re.compile(
    rb'[\r\n](?:(?<=\r)\n)?+(?:\r\n|\n|(?<=\r)\r|\r(?=[^\n]))++'
)
# The end of an event in reversed bytes.
_REVERSED_BLANK_LINE: Final = re.compile(rb'(?>\n\r|\n|\r)(?:\n\r|\n|\r)')
# Longest part of the end of an event that may precede the next bytes.
_END_BYTES: Final = 3
_DATA_FIELD: Final = re.compile(rb'(?:^|[\r\n])data(?:[:\r\n])')
_COMMENT: Final = b':'
_LINE_ENDS: Final = b'\r\n'
_ID_FIELD: Final = b'id:'


class RelayedEvent(NamedTuple):
    """The bytes of one event and its id, empty if it has none."""

    encoded: bytes
    event_id: str


class EventSplitter:
    """Splits received bytes and buffers an incomplete event."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.received_events = 0
        # Appended to in place, as an event may come in many small parts.
        self._pending = bytearray()
        # Without data or id, since the last event that had one.
        self._empty_blocks = 0
        self._empty_bytes = 0

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._pending)

    def check_end(self) -> None:
        """Raise :class:`ValueError` if the bytes end inside an event."""
        check_end(self._pending)

    def clear(self) -> None:
        """Drop what is buffered."""
        # A search that was left may still refer to the former buffer.
        self._pending = bytearray()

    def feed(self, received: bytes) -> Iterator[RelayedEvent]:
        """Yield the events that are complete after ``received``.

        Raises ``LimitExceeded`` for an event that is too long, or for too much
        that is none.
        """
        # What is pending has been searched before.
        searched = max(len(self._pending) - _END_BYTES, 0)
        self._pending += received
        start = 0
        for found in _END_OF_EVENT.finditer(self._pending, searched):
            encoded = bytes(self._pending[start : found.end()])
            start = found.end()
            event = RelayedEvent(encoded, _event_id(encoded))
            self.received_events += 1
            self._check_empty(event)
            yield event
        if start:
            self._pending = self._pending[start:]
        answerlimits.check(
            'event_bytes', len(self._pending), answerlimits.MAX_EVENT_BYTES
        )

    def is_turn_over(self) -> bool:
        """Tell whether other tasks should run before the next event."""
        return not self.received_events % EVENTS_IN_TURN

    def _check_empty(self, event: RelayedEvent) -> None:
        if has_place(event):
            self._empty_blocks = 0
            self._empty_bytes = 0
            return
        self._empty_blocks += 1
        self._empty_bytes += len(event.encoded)
        answerlimits.check(
            'empty_blocks', self._empty_blocks, answerlimits.MAX_EMPTY_BLOCKS
        )
        answerlimits.check(
            'empty_bytes', self._empty_bytes, answerlimits.MAX_EMPTY_BYTES
        )


def check_end(body: bytes | bytearray) -> None:
    """Raise :class:`ValueError` if a whole stream ends inside an event.

    Only its last bytes are searched: it may hold millions of events.
    """
    end = body[-answerlimits.MAX_EVENT_BYTES :]
    last = _REVERSED_BLANK_LINE.search(
        end[::-1]  # noqa: WPS478 - faster than reversed()
    )
    rest = end if last is None else end[len(end) - last.start() :]
    if any(map(_is_part_of_event, rest.splitlines(keepends=True))):
        raise ValueError('stream ended inside an event')


def has_place(event: RelayedEvent) -> bool:
    """Tell whether an event has an id or data, and so a place in its stream."""
    return bool(event.event_id or _DATA_FIELD.search(event.encoded))


def _is_part_of_event(line: bytes | bytearray) -> bool:
    """Tell whether a line is neither blank nor a whole comment."""
    text = line.rstrip(_LINE_ENDS)
    is_whole_comment = text.startswith(_COMMENT) and text != line
    return bool(text) and not is_whole_comment


def _event_id(encoded: bytes) -> str:
    for line in encoded.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode(errors='replace')
    return ''
