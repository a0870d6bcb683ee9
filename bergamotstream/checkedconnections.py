"""
Checked connections
~~~~~~~~~~~~~~~~~~~

Connections of HTTP clients that receive one response to each request, and
refuse one whose head is invalid.
"""

import functools
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeAlias

import aiohttp

from bergamotstream import logs, responseheads

# Rule that heads break which the library itself refuses.
SYNTAX: Final = 'syntax'


class InvalidResponse(NamedTuple):
    """A response that was refused, and its connection closed."""

    # ``IP:port`` of the server.
    address: str
    # The rule of ``responseheads`` that it breaks, or ``SYNTAX``.
    rule: str
    # Its first bytes in printable form.
    shown: str


InvalidRecorder: TypeAlias = Callable[[InvalidResponse], None]


class CheckedHandler(aiohttp.client_proto.ResponseHandler):
    """Receives one response to each request.

    Aborts the connection if its head is invalid. Later responses in the same
    segment are dropped, and the connection is not used again.
    """

    def __init__(self, loop: Any, record_invalid: InvalidRecorder) -> None:
        """Call ``record_invalid`` for each invalid head."""
        super().__init__(loop)
        self._record_invalid = record_invalid
        # Whether a request waits for the head of its final response.
        self._is_head_missing = False
        # The first bytes received since the request. They begin the next head
        # as long as no other head has been received.
        self._start = b''
        self._is_first = True

    def set_response_params(self, **options: Any) -> None:
        """Start to receive the response to a request; called by aiohttp."""
        self._is_head_missing = True
        self._start = b''
        self._is_first = True
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Receive bytes; called by the event loop."""
        if self._is_head_missing:
            missing = responseheads.MAX_START_BYTES - len(self._start)
            self._start += data[:missing]
        try:
            super().data_received(data)
        except responseheads.InvalidHead as invalid:
            self._record(invalid.rule)
            self.fail(invalid)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receive a head and its body; called by the library.

        Raises ``InvalidHead``.
        """
        if not self._is_head_missing:
            # Follows the response in one segment.
            self.force_close()
            return
        head, body = data
        responseheads.check(
            responseheads.ReceivedHead(head, self._start, self._is_first)
        )
        self._is_first = False
        if self.accepts(head, body):
            self._is_head_missing = head.code in responseheads.INTERIM_STATUSES
            super().feed_data(data, size)

    def accepts(self, head: Any, body: Any) -> bool:
        """Tell whether a valid head belongs to the request that waits."""
        return True

    def set_exception(self, exc: Any, *causes: Any) -> None:
        """End the request that waits; called by the library."""
        if self._is_head_missing and isinstance(
            exc, aiohttp.http.HttpProcessingError
        ):
            self._record(SYNTAX)
        super().set_exception(exc, *causes)

    def fail(self, fault: Exception) -> None:
        """End the request that waits for a head, and the connection.

        ``abort`` clears an exception that was set before, which the request
        could then no longer read.
        """
        self.abort()
        self.set_exception(fault)

    def peer_address(self) -> str:
        """Return ``IP:port`` of the server, empty if it was reset at once."""
        peer = self.transport and self.transport.get_extra_info('peername')
        return '{0}:{1}'.format(*peer) if peer else ''

    def _record(self, rule: str) -> None:
        self._record_invalid(
            InvalidResponse(
                self.peer_address(), rule, responseheads.printable(self._start)
            )
        )


def log_invalid(invalid: InvalidResponse) -> None:
    """Log a response that was refused."""
    logs.write('answer_invalid', invalid._asdict())


class CheckedConnector(aiohttp.TCPConnector):
    """Connector of clients that take only valid responses."""

    def __init__(
        self, record_invalid: InvalidRecorder = log_invalid, **options: Any
    ) -> None:
        """Take the options of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        factory: Any = functools.partial(
            CheckedHandler, loop=self._loop, record_invalid=record_invalid
        )
        self._factory = factory
