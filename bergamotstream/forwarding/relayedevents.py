"""
Relayed events
~~~~~~~~~~~~~~

Splits the bytes of an event stream into complete events, so that a stream
whose target fails can resume at another one after the last complete event.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

# Larger than any event that a model engine sends.
MAX_EVENT_BYTES: Final = 1_048_576
_SEPARATORS: Final = (b'\n\n', b'\r\n\r\n')
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

    def feed(self, received: bytes) -> Iterator[RelayedEvent]:
        """Yield the events that are complete after ``received``.

        Raises :class:`ValueError` for an event that is too long.
        """
        self._pending += received
        while True:
            end = _end_of_event(self._pending)
            if not end:
                break
            encoded = self._pending[:end]
            self._pending = self._pending[end:]
            self.received_events += 1
            yield RelayedEvent(encoded, _event_id(encoded))
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError('event longer than the limit')


def _end_of_event(pending: bytes) -> int:
    """Return the length of the first event, 0 if none is complete."""
    ends = [
        start + len(separator)
        for separator in _SEPARATORS
        if (start := pending.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _event_id(encoded: bytes) -> str:
    for line in encoded.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode(errors='replace')
    return ''
