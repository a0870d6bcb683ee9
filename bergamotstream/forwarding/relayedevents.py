"""
Relayed events
~~~~~~~~~~~~~~

Splits the bytes of an event stream into complete events, so that a stream
whose target fails can resume at another one after the last complete event.
"""

import re
from collections.abc import Iterator
from typing import Final, NamedTuple

# Larger than any event that a model engine sends.
MAX_EVENT_BYTES: Final = 1_048_576
# A line end and a blank line, with any of the three line ends of the format. A
# carriage return at the end of the bytes may be the first half of a line end.
_END_OF_EVENT: Final = re.compile(
    rb'(?>\r\n|\n|\r)(?:\r\n|\n|(?<=\r)\r|\r(?=[^\n]))'
)
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
        self._pending = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._pending

    def check_end(self) -> None:
        """Raise :class:`ValueError` if the bytes end inside an event."""
        if any(map(_is_part_of_event, self._pending.splitlines(keepends=True))):
            raise ValueError('stream ended inside an event')

    def feed(self, received: bytes) -> Iterator[RelayedEvent]:
        """Yield the events that are complete after ``received``.

        Raises :class:`ValueError` for an event that is too long.
        """
        unsplit = self._pending + received
        start = 0
        for found in _END_OF_EVENT.finditer(unsplit):
            encoded = unsplit[start : found.end()]
            start = found.end()
            self.received_events += 1
            yield RelayedEvent(encoded, _event_id(encoded))
        self._pending = unsplit[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError('event longer than the limit')


def _is_part_of_event(line: bytes) -> bool:
    """Tell whether a line is neither blank nor a whole comment."""
    text = line.rstrip(_LINE_ENDS)
    is_whole_comment = text.startswith(_COMMENT) and text != line
    return bool(text) and not is_whole_comment


def _event_id(encoded: bytes) -> str:
    for line in encoded.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode(errors='replace')
    return ''
