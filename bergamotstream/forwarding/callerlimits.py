"""
Caller limits
~~~~~~~~~~~~~

Decides what the connections of one server may use of a host: memory, sockets
and the time that parsing their bytes takes. It answers crowds of callers that
send very many lines, heads or bodies without an end, or nothing at all. One
caller alone meets no limit here that it could not meet in the operators'.
"""

from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Final, Generic, NamedTuple, TypeVar

from bergamotstream.forwarding import heldbytes

# Memory of an open connection without a request: its handler, its parser and
# its task.
CONNECTION_BYTES: Final = 16_384
# Memory of a header line besides its bytes: objects for its name and its value,
# in the list and in the mapping of the HTTP library and in that of the request.
LINE_BYTES: Final = 700
# Colon, space and line end of a header, and the shortest line of one.
LINE_OVERHEAD_BYTES: Final = 4
MIN_LINE_BYTES: Final = 3
# A complete body is held twice while it is sent.
COMPLETE_BODY_COPIES: Final = 2
# Time of the host for all others for each ms that it parses costly bytes.
PARSE_PAUSE_RATIO: Final = 4
# Pauses that may add up before any is made, so that what has no end is found to
# have none before the buffers of the connection are full.
PARSE_BURST_MS: Final = 200
# Longest pause: what 2,000 connections need that parse for 2 ms each. Pauses of
# connections that have closed stay in the sum, and must not hold up other
# callers for long after a crowd has left.
MAX_PARSE_PAUSE_MS: Final = 20_000

Connection = TypeVar('Connection', bound=Hashable)


class ConnectionTable(Generic[Connection]):
    """The open connections of a server, the one used longest ago first."""

    def __init__(self, most: int) -> None:
        """Allow ``most`` connections."""
        self.most = most
        self._is_busy_by_connection: dict[Connection, bool] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._is_busy_by_connection)

    def open(self, connection: Connection) -> Connection | None:
        """Add a connection; return one that has to be closed for it.

        That is one without a request, or the new one if all have requests.
        """
        victim = None
        if len(self._is_busy_by_connection) >= self.most:
            victim = next(
                (
                    known
                    for known, is_busy in self._is_busy_by_connection.items()
                    if not is_busy
                ),
                connection,
            )
            self._is_busy_by_connection.pop(victim, None)
        if victim is not connection:
            self._is_busy_by_connection[connection] = False
        return victim

    def use(self, connection: Connection, *, is_busy: bool) -> None:
        """Record that a connection is used, and whether by a request."""
        if self._is_busy_by_connection.pop(connection, None) is not None:
            self._is_busy_by_connection[connection] = is_busy

    def close(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._is_busy_by_connection.pop(connection, None)


class ParseBudget:
    """Shares the time for bytes that take long to parse.

    All connections with such bytes together get one part of the processor,
    one after the other, so that ordinary requests do not wait for them.
    """

    def __init__(self) -> None:
        """Start with the whole budget."""
        self._free_ms = 0

    def delay_ms(self, turn_ms: int, now_ms: int) -> int:
        """Return the pause of a connection after ``turn_ms`` of parsing."""
        begin_ms = max(self._free_ms, now_ms)
        self._free_ms = min(
            begin_ms + turn_ms * PARSE_PAUSE_RATIO,
            now_ms + PARSE_BURST_MS + MAX_PARSE_PAUSE_MS,
        )
        return max(self._free_ms - now_ms - PARSE_BURST_MS, 0)


class ServerLimits(NamedTuple):
    """What the connections of one server may use."""

    # Returns the longest head now, as the operators may change it.
    max_head_bytes: Callable[[], int]
    held: heldbytes.HeldBytes
    connections: ConnectionTable[Hashable]
    parsing: ParseBudget


class RequestCost:
    """The memory of one request that has been received, or is being."""

    def __init__(self) -> None:
        """Start with a head that has no bytes."""
        self._head_bytes = 0
        self._lines = 0

    def clear(self) -> None:
        """Count nothing any more."""
        self._head_bytes = 0
        self._lines = 0

    def add_head(self, received: bytes) -> None:
        """Count bytes that may be of the head."""
        self._head_bytes += len(received)
        self._lines += received.count(b'\n')

    def remove(self, taken_bytes: int) -> None:
        """Leave out bytes that have turned out to be of something else.

        As many lines are left as the rest may hold, since what was left out
        may have been a body without lines.
        """
        self._head_bytes = max(self._head_bytes - taken_bytes, 0)
        self._lines = min(self._lines, self._head_bytes // MIN_LINE_BYTES)

    def set_head(self, head: Sequence[tuple[bytes, bytes]]) -> int:
        """Count the headers of a complete head; return its bytes."""
        self._lines = len(head)
        self._head_bytes = count_header_bytes(head)
        return self._head_bytes

    def total(self, body_bytes: int, *, is_complete: bool) -> int:
        """Return the bytes of memory with ``body_bytes`` of the body."""
        copies = COMPLETE_BODY_COPIES if is_complete else 1
        head_bytes = self._head_bytes + self._lines * LINE_BYTES
        return head_bytes + body_bytes * copies


def count_header_bytes(head: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length of headers on the wire."""
    return sum(
        len(name) + len(field) + LINE_OVERHEAD_BYTES for name, field in head
    )


def largest_request(max_header_bytes: int, max_body_bytes: int) -> int:
    """Return what the largest request that the operators allow may hold."""
    head_bytes = max_header_bytes * COMPLETE_BODY_COPIES
    body_bytes = max_body_bytes * COMPLETE_BODY_COPIES
    return CONNECTION_BYTES + head_bytes + body_bytes
