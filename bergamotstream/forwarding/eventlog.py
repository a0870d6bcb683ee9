"""
Event log
~~~~~~~~~

Structured lines on standard output. The number of lines of one kind per second
is limited, and a stalled reader never blocks the process: lines that do not
fit into its pipe are dropped and counted.
"""

import collections
import logging
import os
from typing import Any, Final

from absl import logging as absl_logging

from bergamotstream import clock, logs

# Maximum lines of one kind per second. Source: 22.5 requests a
# second of a host at the users' largest size, with a few decisions each.
LINES_PER_S: Final = 60
WINDOW_MS: Final = 1_000
# Bytes buffered for the reader of the pipe before lines are dropped.
MAX_PENDING_BYTES: Final = 65_536
STDOUT: Final = 1


class PipeHandler(logging.Handler):
    """Writes to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        """Write to ``descriptor``, which becomes non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = bytearray()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped if the buffer is full."""
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            line = f'{self.format(record)}\n'
            # Headers of others may hold bytes that are no text.
            self._pending += line.encode(errors='backslashreplace')
        self._write_pending()

    def flush(self) -> None:
        """Write what is pending, as far as the reader takes it now."""
        if self._pending:
            self._write_pending()

    def _write_pending(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone, so the loss cannot be logged.
            written = len(self._pending)
            self.dropped += 1
        del self._pending[:written]  # noqa: WPS420 - keeps the buffer


class EventLog:
    """Writes events with their fields, limited per second."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Read the time from ``time_source``."""
        self._clock = time_source
        self._window_start_ms = 0
        self._written_by_event: collections.Counter[str] = collections.Counter()

    def write(self, event: str, **fields: Any) -> None:
        """Write one event; the fields are its inputs and its outcome."""
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms >= WINDOW_MS:
            self._start_window(now_ms)
        self._written_by_event[event] += 1
        if self._written_by_event[event] <= LINES_PER_S:
            self._write_line(event, fields)

    def _start_window(self, now_ms: int) -> None:
        for event, count in self._written_by_event.items():
            if count > LINES_PER_S:
                omitted = count - LINES_PER_S
                self._write_line('left_out', {'kind': event, 'lines': omitted})
        self._written_by_event.clear()
        self._window_start_ms = now_ms

    def _write_line(self, event: str, fields: dict[str, Any]) -> None:
        stamped = {'wall_ms': self._clock.wall_ms(), **fields}
        logs.write(event, stamped)


def hex_of(fingerprint: int) -> str:
    """Return a fingerprint as it is logged."""
    return f'{fingerprint:016x}'


def install_handler() -> PipeHandler:
    """Send all lines of the process to standard output; return the handler."""
    handler = PipeHandler()
    handler.setFormatter(logging.Formatter('%(message)s'))
    logger = absl_logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    absl_logging.set_verbosity(absl_logging.INFO)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.ERROR)
    return handler
