"""
Ingress
~~~~~~~

Serves callers: reads and admits a request, places it on a target and relays
the target's answer. Each request is one task, which is cancelled when the
caller disconnects.
"""

import asyncio
import contextlib
import functools
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple, TypeVar

import multidict
from aiohttp import web

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    calleranswer,
    dispatch,
    eventlog,
    exchangerecords,
    fingerprints,
    fleetrecords,
    outcomes,
    peerexchange,
    relayedevents,
    requeststate,
    reservations,
    scheduler,
)
from bergamotstream.platform import callerformat

MS_PER_S: Final = 1_000
# Colon, space and line end of a header.
HEADER_LINE_OVERHEAD_BYTES: Final = 4
# After this time the store is unavailable and the caller should use another
# host.
CONFIGURATION_TIMEOUT_S: Final = 0.25
# Delay before a waiting request is placed again: about a pass of an engine, or
# this part of the request's goal if that is longer.
MIN_PLACEMENT_RETRY_S: Final = 0.05
PLACEMENT_RETRY_GOAL_RATIO: Final = 0.05
# Maximum tries that reach no target: half of the targets may fail at once,
# with their zone.
MAX_UNSENT_TRIES: Final = 8

Received = TypeVar('Received')

# Errors that end one try of a request without an answer.
TRY_FAULTS: Final = (
    dispatch.TargetUnreachable,
    dispatch.TargetRefused,
    dispatch.TargetBroken,
    reservations.MemoryRefused,
)


class Dependencies(NamedTuple):
    """Components that requests are served with."""

    core: scheduler.Scheduler
    dispatcher: dispatch.Dispatcher
    memory_reservations: reservations.Reservations
    peers: peerexchange.PeerExchange
    log: eventlog.EventLog
    clock: clock.Clock
    meters: metrics.Metrics
    outcomes: outcomes.OutcomeRecorder
    # Set once a configuration is known.
    configured: asyncio.Event


class Ingress:
    """The request handler of the callers' server."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Serve with ``dependencies``."""
        self.open_requests = 0
        self.stop: scheduler.GracefulShutdown | None = None
        self._dependencies = dependencies
        self._core = dependencies.core
        self._clock = dependencies.clock
        self._outcomes = dependencies.outcomes

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        with contextlib.ExitStack() as stack:
            self.open_requests += 1
            stack.callback(self._count_end)
            response = await self._serve(request)
        if self.stop is not None:
            response.force_close()
        return response

    def _count_end(self) -> None:
        self.open_requests -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        caller_request = callerformat.parse_request(
            request.method, request.raw_path, request.headers
        )
        try:
            state = await self._admit(request, caller_request)
        except errors.ServiceError as error:
            return self._refuse(request, caller_request, error)
        try:
            return await self._serve_with_timeout(state)
        except asyncio.CancelledError:
            self._outcomes.record_end(state, 'caller_gone')
            raise

    async def _admit(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
    ) -> requeststate.RequestState:
        """Read and admit a request; raises ``ServiceError``."""
        await self._wait_for_configuration()
        now_ms = self._clock.now_ms()
        job = self._core.admit(caller_request, now_ms)
        self._check_headers(request)
        body = await self._read_body(request)
        job = fingerprints.identify(job, body)
        job = self._core.start_trial(job, now_ms)
        self._core.check_blame(job, now_ms)
        self._outcomes.record_trial(job)
        self._core.check_shutdown(job, self.stop, now_ms)
        return requeststate.RequestState(
            job, body, calleranswer.CallerAnswer(request)
        )

    async def _wait_for_configuration(self) -> None:
        """Wait for the first read of the store, which takes about 30 ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_TIMEOUT_S):
                await self._dependencies.configured.wait()

    def _check_headers(self, request: web.BaseRequest) -> None:
        configuration = self._core.view.configuration
        size = sum(
            len(name) + len(field) + HEADER_LINE_OVERHEAD_BYTES
            for name, field in request.raw_headers
        )
        if configuration and size > configuration.limits.max_header_bytes:
            raise errors.HeadersTooLarge(f'{size} bytes')

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        configuration = self._core.view.configuration
        if configuration is None:
            raise errors.ConfigurationUnknown
        received = bytearray()
        async for chunk in request.content.iter_any():
            received += chunk
            if len(received) > configuration.limits.max_body_bytes:
                raise errors.BodyTooLarge
        return bytes(received)

    async def _serve_with_timeout(
        self, state: requeststate.RequestState
    ) -> web.StreamResponse:
        remaining_ms = state.job.end_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(remaining_ms, 0) / MS_PER_S):
                return await self._serve_with_retries(state)
        except TimeoutError:
            return self._fail(state, errors.DeadlinePassed())
        except errors.CallerGone as gone:
            self._outcomes.record_end(state, gone.code, gone.detail)
            return state.answer.abort()
        except errors.ServiceError as error:
            return self._fail(state, error)

    async def _serve_with_retries(
        self, state: requeststate.RequestState
    ) -> web.StreamResponse:
        """Try targets until one has answered; raises ``ServiceError``."""
        while True:
            try:
                return await self._try_target(state)
            except TRY_FAULTS as fault:
                if not self._may_retry(fault, state):
                    raise self._final_error(state) from fault

    @functools.singledispatchmethod
    def _may_retry(
        self, fault: Exception, state: requeststate.RequestState
    ) -> bool:
        """Decide on a retry after a try that sent nothing."""
        state.tries_unsent += 1
        return state.tries_unsent <= MAX_UNSENT_TRIES

    @_may_retry.register
    def _may_retry_refused(
        self, fault: dispatch.TargetRefused, state: requeststate.RequestState
    ) -> bool:
        if fault.misdirected:
            # The intended target is gone, so the try does not count as sent.
            state.tries_unsent += 1
        return state.tries_unsent <= MAX_UNSENT_TRIES and self._has_retry_left(
            state
        )

    @_may_retry.register
    def _may_retry_broken(
        self, fault: dispatch.TargetBroken, state: requeststate.RequestState
    ) -> bool:
        retry_policy = state.job.route.retry_policy
        if retry_policy is fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN:
            return False
        if not self._core.blame.may_retry(
            state.job.parts, self._clock.now_ms()
        ):
            self._outcomes.record_suspected_part(state)
            return False
        return self._has_retry_left(state)

    @_may_retry.register
    def _may_retry_timed_out(
        self, fault: dispatch.TargetTimedOut, state: requeststate.RequestState
    ) -> bool:
        # The retry was allowed before the request was timed out.
        return True

    def _has_retry_left(self, state: requeststate.RequestState) -> bool:
        return self._core.may_retry(
            state.job, state.tries_sent, self._clock.now_ms()
        )

    def _final_error(
        self, state: requeststate.RequestState
    ) -> errors.ServiceError:
        if state.may_have_run:
            return errors.TargetFailed(run_state='may_have_run')
        return errors.Overloaded(retry_after_ms=self._core.retry_after_ms())

    async def _try_target(
        self, state: requeststate.RequestState
    ) -> web.StreamResponse:
        """Serve the request by one target; raises ``TRY_FAULTS``."""
        state.start_try()
        assignment = await self._place(state)
        self._outcomes.record_placement(state, assignment)
        self._dependencies.peers.schedule_send()
        with contextlib.ExitStack() as stack:
            stack.callback(self._dependencies.peers.schedule_delayed_send)
            stack.callback(self._core.release, assignment)
            try:
                return await self._reserve_and_send(state, assignment)
            except TRY_FAULTS as fault:
                self._outcomes.record_fault(fault, state, assignment)
                raise
            except asyncio.CancelledError:
                self._outcomes.record_abandoned(state, assignment)
                raise

    async def _place(
        self, state: requeststate.RequestState
    ) -> exchangerecords.Assignment:
        """Place a try; wait for capacity if the scheduler allows it."""
        while True:
            now_ms = self._clock.now_ms()
            # Peers may have blamed the request since it was admitted.
            self._core.check_blame(state.job, now_ms)
            try:
                return self._core.place(
                    state.job, state.tried_target_ids, now_ms
                )
            except errors.Overloaded:
                if not self._core.may_wait(state.job, now_ms):
                    raise
            goal_s = state.job.route.goal_ms / MS_PER_S
            await asyncio.sleep(
                max(MIN_PLACEMENT_RETRY_S, goal_s * PLACEMENT_RETRY_GOAL_RATIO)
            )

    async def _reserve_and_send(
        self,
        state: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
    ) -> web.StreamResponse:
        async with self._dependencies.memory_reservations.held(
            assignment.reservations
        ):
            answer = await self._send(state, assignment)
            with contextlib.ExitStack() as stack:
                stack.callback(answer.close)
                return await self._handle_answer(state, assignment, answer)

    async def _send(
        self,
        state: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
    ) -> dispatch.Answer:
        """Send a try; until its outcome is known it may have run."""
        may_have_run_before = state.may_have_run
        state.may_have_run = True
        state.is_unanswered = True
        remaining_ms = state.job.end_ms - self._clock.now_ms()
        sending = self._dependencies.dispatcher.send(
            dispatch.TargetRequest(
                state.job,
                state.body,
                assignment,
                remaining_ms,
                state.last_event_id,
            )
        )
        try:
            answer = await self._with_silence_timeout(
                state, state.tries_sent + 1, sending
            )
        except dispatch.TargetUnreachable:
            state.may_have_run = may_have_run_before
            raise
        except dispatch.TargetRefused as refused:
            state.may_have_run = may_have_run_before
            if not refused.misdirected:
                state.tries_sent += 1
            raise
        except dispatch.TargetBroken:
            state.tries_sent += 1
            raise
        state.tries_sent += 1
        state.is_unanswered = False
        return answer

    async def _with_silence_timeout(
        self,
        state: requeststate.RequestState,
        sent: int,
        receiving: Coroutine[Any, Any, Received],
    ) -> Received:
        """Return what the last of ``sent`` targets sends.

        Raises ``TargetTimedOut`` if it stays silent and another target may be
        tried; otherwise it may use all of the remaining time.
        """
        waiting = asyncio.ensure_future(receiving)
        with contextlib.ExitStack() as stack:
            stack.callback(waiting.cancel)
            limit_ms = self._core.silence_limit_ms(
                state.job, self._clock.now_ms()
            )
            if limit_ms is not None:
                await asyncio.wait((waiting,), timeout=limit_ms / MS_PER_S)
                if not waiting.done() and self._may_try_another(state, sent):
                    raise dispatch.TargetTimedOut(f'silent for {limit_ms} ms')
            return await waiting

    def _may_try_another(
        self, state: requeststate.RequestState, sent: int
    ) -> bool:
        now_ms = self._clock.now_ms()
        return self._core.has_target(
            state.job, state.tried_target_ids, now_ms
        ) and self._core.may_retry(state.job, sent, now_ms)

    async def _handle_answer(
        self,
        state: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        if dispatch.is_success(answer.status) and state.job.route.streaming:
            return await self._relay(state, assignment, answer)
        buffered = await self._with_silence_timeout(
            state, state.tries_sent, dispatch.read_buffered(answer)
        )
        if dispatch.is_success(buffered.status):
            self._outcomes.record_success(state, assignment)
            return self._buffered_response(state, buffered)
        self._outcomes.record_failure(assignment)
        state.failure_answer = buffered
        raise dispatch.TargetErrorAnswer(f'status {buffered.status}')

    def _buffered_response(
        self,
        state: requeststate.RequestState,
        buffered: dispatch.BufferedAnswer,
    ) -> web.StreamResponse:
        self._outcomes.record_end(state, f'status_{buffered.status}')
        if buffered.status == dispatch.UNAVAILABLE:
            # This status tells the caller that the request did not run, which
            # the target does not state.
            return calleranswer.error_answer(
                errors.TargetFailed(run_state='may_have_run'),
                state.job.request.attempt_id,
            )
        return web.Response(
            status=buffered.status, headers=buffered.headers, body=buffered.body
        )

    async def _relay(
        self,
        state: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        """Relay a stream event by event; raises ``TargetBroken``."""
        headers = callerformat.answer_headers(answer.headers)
        # Another target may complete the stream with a different length.
        headers.popall('Content-Length', None)
        splitter = relayedevents.EventSplitter()
        ending = dispatch.ending_of(answer)
        try:
            await self._relay_events(
                state, assignment, answer, headers, splitter
            )
            self._outcomes.record_stream_end(
                state, assignment, ending.framing, splitter
            )
            await _check_stream_end(state, ending, splitter)
        except dispatch.TargetTimedOut:
            # A connection error as well, but its retry is granted already.
            raise
        except dispatch.READ_FAULTS as broken:
            raise dispatch.TargetBroken(repr(broken)) from broken
        response = await state.answer.write(
            answer.status, headers, splitter.rest
        )
        await state.answer.end(response)
        dispatch.close(answer)
        self._outcomes.record_success(state, assignment)
        self._outcomes.record_end(state, 'served')
        return response

    async def _relay_events(
        self,
        state: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
        headers: multidict.CIMultiDict[str],
        splitter: relayedevents.EventSplitter,
    ) -> None:
        """Relay whole events until the end of what the target sends."""
        last_chunk_ms = 0
        while True:
            chunk = await self._with_silence_timeout(
                state, state.tries_sent, answer.content.readany()
            )
            if not chunk:
                return
            now_ms = self._clock.now_ms()
            if last_chunk_ms:
                self._outcomes.record_gap(
                    state, assignment, now_ms - last_chunk_ms
                )
            else:
                waited_ms = now_ms - assignment.placed_ms
                self._outcomes.record_first_byte(state, assignment, waited_ms)
                self._dependencies.peers.schedule_delayed_send()
            last_chunk_ms = now_ms
            for event in splitter.feed(chunk):
                await state.answer.write(  # noqa: WPS476 - in order
                    answer.status, headers, event.encoded
                )
                state.last_event_id = event.event_id or state.last_event_id
            state.events_in_try = splitter.received_events

    def _fail(
        self, state: requeststate.RequestState, error: errors.ServiceError
    ) -> web.StreamResponse:
        """Return the final answer of a request that failed."""
        if state.answer.started:
            self._outcomes.record_end(state, f'cut_{error.code}', error.detail)
            return state.answer.abort()
        if state.failure_answer is not None:
            return self._buffered_response(state, state.failure_answer)
        if state.may_have_run:
            error.run_state = 'may_have_run'
        if state.may_have_run and error.status == dispatch.UNAVAILABLE:
            error = errors.TargetFailed(run_state='may_have_run')
        self._outcomes.record_end(state, error.code, error.detail)
        return calleranswer.error_answer(error, state.job.request.attempt_id)

    def _refuse(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
        error: errors.ServiceError,
    ) -> web.StreamResponse:
        """Answer a request that was not admitted."""
        self._dependencies.meters.count('requests', error.code)
        self._dependencies.log.write(
            'refused',
            id=caller_request.attempt_id,
            reason=error.code,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            revision=self._core.view.revision,
        )
        response = calleranswer.error_answer(error, caller_request.attempt_id)
        if not request.content.at_eof():
            response.force_close()
        return response


async def _check_stream_end(
    state: requeststate.RequestState,
    ending: dispatch.Ending,
    splitter: relayedevents.EventSplitter,
) -> None:
    """Raise one of ``READ_FAULTS`` if a stream may have been broken off.

    Only a stream that resumes after its last event may hold no event, unless
    its framing says so.
    """
    await dispatch.check_ending(ending)
    splitter.check_end()
    is_closed = ending.framing is dispatch.Framing.CLOSE
    if is_closed and not splitter.received_events and not state.last_event_id:
        raise ValueError('stream ended without an event')
