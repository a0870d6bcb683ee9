"""
Stream records
~~~~~~~~~~~~~~

Records the progress of a stream that is relayed to a caller. What a stream
tells of its target is recorded by the host that chose the target.
"""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeAlias

import multidict

from bergamotstream.forwarding import (
    dispatch,
    exchangerecords,
    fleetrecords,
    outcomes,
    peerexchange,
    relayedevents,
    relayformat,
    requeststate,
)
from bergamotstream.platform import callerformat

# Waits for the next bytes of a stream, and may give it up.
Receiver: TypeAlias = Callable[[Coroutine[Any, Any, bytes]], Awaitable[bytes]]


class StreamRecord:
    """The stream of a peer, which records all that concerns its target."""

    def __init__(self, receive: Receiver, served: requeststate.Try) -> None:
        """Record the stream of ``served``; ``receive`` waits for its bytes."""
        self.receive = receive
        self._served = served

    def headers_of(self, answer: dispatch.Answer) -> multidict.CIMultiDict[str]:
        """Return the headers to pass on, to the caller or to a peer."""
        headers = callerformat.answer_headers(answer.headers)
        relayformat.take_run(headers)
        return headers

    def record_chunk(self, now_ms: int, gap_ms: int | None) -> None:
        """Record received bytes; the first ones have no gap."""
        request = self._served.request
        if gap_ms is None:
            request.first_byte_ms = request.first_byte_ms or now_ms
        else:
            request.longest_gap_ms = max(request.longest_gap_ms, gap_ms)

    def record_end(
        self, framing: dispatch.Framing, splitter: relayedevents.EventSplitter
    ) -> None:
        """Record the end of the bytes, before it is checked."""

    def record_success(self) -> None:
        """Record a complete answer."""


class TargetStreamRecord(StreamRecord):
    """The stream of a target that this host has chosen."""

    def __init__(
        self,
        receive: Receiver,
        recorder: outcomes.OutcomeRecorder,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        peers: peerexchange.PeerExchange,
    ) -> None:
        """Record the stream of ``assignment``."""
        super().__init__(receive, served)
        self._outcomes = recorder
        self._assignment = assignment
        self._peers = peers

    def headers_of(self, answer: dispatch.Answer) -> multidict.CIMultiDict[str]:
        """Return the headers to pass on, to the caller or to a peer."""
        return name_target(
            self._served.request,
            self._assignment,
            callerformat.answer_headers(answer.headers),
        )

    def record_chunk(self, now_ms: int, gap_ms: int | None) -> None:
        """Record received bytes; the first ones have no gap."""
        if gap_ms is None:
            waited_ms = now_ms - self._assignment.placed_ms
            self._outcomes.record_first_byte(
                self._served, self._assignment, waited_ms
            )
            self._peers.schedule_delayed_send()
        else:
            self._outcomes.record_gap(self._served, self._assignment, gap_ms)

    def record_end(
        self, framing: dispatch.Framing, splitter: relayedevents.EventSplitter
    ) -> None:
        """Record the end of the bytes, before it is checked."""
        self._outcomes.record_stream_end(
            self._served, self._assignment, framing, splitter
        )

    def record_success(self) -> None:
        """Record a complete answer."""
        self._outcomes.record_success(self._served, self._assignment)


def name_target(
    state: requeststate.RequestState,
    assignment: exchangerecords.Assignment,
    headers: multidict.CIMultiDict[str],
) -> multidict.CIMultiDict[str]:
    """Add the target to the headers of an answer that goes to a peer.

    The peer passes the answer on to its caller, so what the target says of
    itself binds the peer too.
    """
    if state.relayed_by:
        run = fleetrecords.run_of(assignment.target)
        headers[relayformat.TARGET] = relayformat.encode_run(run)
    return headers
