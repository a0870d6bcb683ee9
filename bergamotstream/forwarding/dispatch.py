"""
Dispatch
~~~~~~~~

Sends one try of a job to its target and checks that the answer comes from
that target. Errors tell whether the request may have run.
"""

import asyncio
import contextlib
import enum
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple, TypeAlias, TypeVar

import aiohttp
import multidict
import yarl

from bergamotstream import errors, eventstream
from bergamotstream.forwarding import (
    answerlimits,
    connections,
    exchangerecords,
    fleetrecords,
    heldbytes,
    relayedevents,
)
from bergamotstream.platform import callerformat, protocol

MISDIRECTED: Final = protocol.MISDIRECTED
UNAVAILABLE: Final = 503
SUCCESS_CLASS: Final = 2
STATUSES_IN_CLASS: Final = 100
# The connection has already closed when this timeout starts.
ENDING_TIMEOUT_S: Final = 0.5


class TargetUnreachable(ConnectionError):
    """No connection was opened; nothing was sent."""

    def __init__(self, fault: aiohttp.ClientError) -> None:
        """Record whether the target refused the connection."""
        super().__init__(repr(fault))
        self.connection_refused = isinstance(
            fault, aiohttp.ClientConnectorError
        ) and isinstance(fault.os_error, ConnectionRefusedError)


class TargetRefused(ConnectionError):
    """The target states that the request did not run."""

    def __init__(
        self,
        status: int,
        at_fault: str,
        statement: str = callerformat.NOT_EXECUTED,
    ) -> None:
        """Keep the status, the address that the refusal names and its kind."""
        super().__init__(f'status {status}')
        self.status = status
        self.statement = statement
        # Another target has the address now.
        self.misdirected = status == MISDIRECTED
        self.at_fault = at_fault


class TargetBroken(ConnectionError):
    """No valid answer was received; the request may have run."""


class TargetErrorAnswer(TargetBroken):
    """The target answered with an error status, so it still runs."""


class UnstatedRefusal(TargetErrorAnswer):
    """The status says that the request did not run, the target does not."""

    def __init__(self, status: int) -> None:
        """Keep the status, which must not reach the caller."""
        super().__init__(f'status {status}, not stated as not run')
        self.status = status


class UnprovenAnswer(TargetErrorAnswer):
    """The answer does not name the request, which may still be running."""


Received = TypeVar('Received')
Answer: TypeAlias = aiohttp.ClientResponse
# Errors that reading an answer may raise.
READ_FAULTS: Final = (aiohttp.ClientError, OSError, ValueError)


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    # The end of the connection.
    CLOSE = 'close'


class BufferedAnswer(NamedTuple):
    """A complete answer of a target."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes


class TargetRequest(NamedTuple):
    """One try of a job."""

    job: exchangerecords.Job
    body: bytes
    assignment: exchangerecords.Assignment
    timeout_ms: int
    last_event_id: str


# Called with each head of an answer that comes from the intended target.
HeadRecorder: TypeAlias = Callable[
    [exchangerecords.Assignment, int, multidict.CIMultiDictProxy[str]], None
]


class Dispatcher:
    """Sends requests to targets."""

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        unpooled: aiohttp.ClientSession,
        record_head: HeadRecorder,
    ) -> None:
        """Use ``pooled`` for requests that may be repeated.

        If a target closes a reused connection while a request is sent, it is
        unknown whether the request ran. Requests that must run at most once
        therefore use ``unpooled`` connections.
        """
        self._pooled = pooled
        self._unpooled = unpooled
        self._record_head = record_head

    async def send(self, outgoing: TargetRequest) -> Answer:
        """Send a try and return the answer once its headers are received.

        Raises ``TargetUnreachable``, ``TargetRefused`` or ``TargetBroken``.
        """
        retry_policy = outgoing.job.route.retry_policy
        reuse = retry_policy is not fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN
        session = self._pooled if reuse else self._unpooled
        try:
            answer = await session.request(
                outgoing.job.request.method,
                _url(outgoing),
                headers=callerformat.target_headers(
                    outgoing.job,
                    outgoing.assignment,
                    outgoing.timeout_ms,
                    outgoing.last_event_id,
                ),
                data=outgoing.body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as unreachable:
            raise TargetUnreachable(unreachable) from unreachable
        except (aiohttp.ClientError, OSError, ValueError) as broken:
            raise TargetBroken(repr(broken)) from broken
        _check_attempt_id(answer, outgoing.job.request.attempt_id)
        if is_of_target(answer):
            self._record_head(
                outgoing.assignment, answer.status, answer.headers
            )
        _check_answer(answer, outgoing.assignment.target.target_id)
        return answer


def _url(outgoing: TargetRequest) -> yarl.URL:
    address = outgoing.assignment.target.address
    return yarl.URL(
        f'http://{address}{outgoing.job.request.target}', encoded=True
    )


def _check_attempt_id(answer: Answer, attempt_id: str) -> None:
    """Raise ``UnprovenAnswer`` unless the answer names this request once.

    Targets echo the id in all answers. A refusal without it may be an earlier
    one, and the request may have run.
    """
    echoed = answer.headers.getall(protocol.ATTEMPT_ID, [])
    expected = [attempt_id] if attempt_id else []
    if echoed != expected:
        answer.close()
        raise UnprovenAnswer(f'status {answer.status} for {echoed}')


def _check_answer(answer: Answer, target_id: str) -> None:
    """Raise if the answer reports not run or has no stamp.

    A status alone reports nothing: a faulty target may send any of them for a
    request that it has run.
    """
    statement = callerformat.not_run_statement(
        answer.status, answer.headers, target_id
    )
    if statement:
        answer.close()
        at_fault = answer.headers.get(protocol.AT_SERVER, '')
        raise TargetRefused(answer.status, at_fault, statement)
    if answer.status in errors.NOT_RUN_STATUSES:
        answer.close()
        raise UnstatedRefusal(answer.status)
    if protocol.STAMP not in answer.headers:
        answer.close()
        raise TargetBroken(f'status {answer.status} without a stamp')


def is_of_target(answer: Answer) -> bool:
    """Tell whether the intended target has sent an answer."""
    is_known = (
        protocol.STAMP in answer.headers
        or protocol.NOT_EXECUTED in answer.headers
    )
    return is_known and answer.status != MISDIRECTED


def is_success(status: int) -> bool:
    """Tell whether a status is a success."""
    return status // STATUSES_IN_CLASS == SUCCESS_CLASS


async def read_buffered(
    answer: Answer, held: heldbytes.HeldAnswers
) -> BufferedAnswer:
    """Read a complete answer; raises ``TargetBroken``."""
    length = answer.content_length or 0
    if length > answerlimits.MAX_BUFFERED_BYTES:
        # It will be refused, and needs no room until then.
        length = 0
    try:
        with held.open(answer.content.set_exception) as holding:
            async with held.room.reserved(length):
                body = await _read_body(answer, holding)
    except answerlimits.LimitExceeded as exceeded:
        answer.close()
        # The target has answered, so it still runs.
        raise TargetErrorAnswer(str(exceeded)) from exceeded
    except READ_FAULTS as broken:
        answer.close()
        raise TargetBroken(repr(broken)) from broken
    close(answer)
    return BufferedAnswer(
        answer.status,
        callerformat.answer_headers(answer.headers),
        body,
    )


async def _read_body(answer: Answer, holding: heldbytes.Holding) -> bytes:
    """Return a complete body; raises one of ``READ_FAULTS``."""
    ending = ending_of(answer)
    async for chunk in answer.content.iter_any():
        holding.extend(chunk)
        answerlimits.check(
            'buffered_bytes', holding.size, answerlimits.MAX_BUFFERED_BYTES
        )
    await check_ending(ending)
    body = bytes(holding.buffer)
    if answer.content_type == eventstream.CONTENT_TYPE:
        relayedevents.check_end(body)
    return body


class Ending(NamedTuple):
    """How the end of an answer is recognised."""

    framing: Framing
    # Done when the connection is lost; ``None`` if that cannot be known.
    closed: asyncio.Future[None] | None


def ending_of(answer: Answer) -> Ending:
    """Return how an answer ends."""
    framing = _framing_of(answer)
    if framing is not Framing.CLOSE or not isinstance(
        answer, connections.TrackedResponse
    ):
        return Ending(framing, None)
    return Ending(framing, answer.connection_lost)


def _framing_of(answer: Answer) -> Framing:
    if 'Transfer-Encoding' in answer.headers:
        return Framing.CHUNKED
    if 'Content-Length' in answer.headers:
        return Framing.LENGTH
    return Framing.CLOSE


async def check_ending(ending: Ending) -> None:
    """Raise ``ClientConnectionError`` if the connection was reset.

    aiohttp treats an answer without a length as complete however its
    connection ends, but after a reset bytes may be missing.
    """
    if ending.framing is not Framing.CLOSE:
        return
    if ending.closed is None:
        raise aiohttp.ClientConnectionError('unknown how the connection ended')
    async with asyncio.timeout(ENDING_TIMEOUT_S):
        await asyncio.shield(ending.closed)


async def receive(
    receiving: Coroutine[Any, Any, Received],
    first_wait_s: float | None,
    interval_s: float,
    handle_silence: Callable[[], None],
) -> Received:
    """Return what is received; call ``handle_silence`` as long as nothing is.

    It is called after ``first_wait_s`` and then in each interval, or never if
    that is ``None``.
    """
    waiting = asyncio.ensure_future(receiving)
    with contextlib.ExitStack() as stack:
        stack.callback(_discard, waiting)
        await asyncio.wait((waiting,), timeout=first_wait_s)
        while not waiting.done():
            handle_silence()
            await asyncio.wait((waiting,), timeout=interval_s)
        received = await waiting
        stack.pop_all()
    return received


def _discard(receiving: asyncio.Future[Any]) -> None:
    """Cancel what nobody waits for any longer; close an answer it has got."""
    if receiving.cancel() or receiving.cancelled() or receiving.exception():
        return
    received = receiving.result()
    if isinstance(received, Answer):
        received.close()


def close(answer: Answer) -> None:
    """Return the connection to the pool if a success was read completely.

    A target may send a failure before it has read the request, which leaves
    the connection unusable.
    """
    if answer.content.at_eof() and is_success(answer.status):
        answer.release()
    else:
        answer.close()
