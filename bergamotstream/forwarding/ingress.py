"""
Ingress
~~~~~~~

Serves callers: reads a request, has it admitted and placed, and relays the
answer of its target. Each request is one task, which ends when the caller
leaves.
"""

import asyncio
import contextlib
import functools
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple, TypeVar

from aiohttp import web

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    calleranswer,
    dispatch,
    eventlog,
    exchangerecords,
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
FIELD_FRAMING: Final = 4
# Longer, the store is away and the caller should use another host.
CONFIGURATION_WAIT_S: Final = 0.25
# Time between two looks for a place for a request that waits: about a pass of
# an engine, and more for requests that have more time.
PLACE_AGAIN_S: Final = 0.05
PLACE_AGAIN_GOALS: Final = 0.05
# Tries that reach no target are repeated this often: half of the targets may
# have gone at once, with their zone.
MAX_UNSENT: Final = 8

Received = TypeVar('Received')

# What ends one try of a request without an answer.
TRY_FAULTS: Final = (
    dispatch.TargetUnreachable,
    dispatch.TargetRefused,
    dispatch.TargetBroken,
    reservations.MemoryRefused,
)


class Surroundings(NamedTuple):
    """What requests are served with."""

    core: scheduler.Scheduler
    dispatcher: dispatch.Dispatcher
    holder: reservations.Reservations
    peers: peerexchange.PeerExchange
    log: eventlog.EventLog
    clock: clock.Clock
    meters: metrics.Metrics
    # Set once a configuration is known.
    configured: asyncio.Event


class Ingress:
    """The request handler of the callers' server."""

    def __init__(self, parts: Surroundings) -> None:
        """Serve with ``parts``."""
        self.open_requests = 0
        self.stop: scheduler.Stop | None = None
        self._parts = parts
        self._core = parts.core
        self._clock = parts.clock
        self._outcomes = outcomes.Outcomes(
            parts.core, parts.log, parts.clock, parts.meters
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        with contextlib.ExitStack() as stack:
            self.open_requests += 1
            stack.callback(self._count_ended)
            response = await self._serve(request)
        if self.stop is not None:
            response.force_close()
        return response

    def _count_ended(self) -> None:
        self.open_requests -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        facts = callerformat.parse_request(
            request.method, request.raw_path, request.headers
        )
        try:
            served = await self._admit(request, facts)
        except errors.ServiceError as error:
            return self._refuse(request, facts, error)
        try:
            return await self._serve_in_time(served)
        except asyncio.CancelledError:
            self._outcomes.ended(served, 'caller_gone')
            raise

    async def _admit(
        self, request: web.BaseRequest, facts: exchangerecords.CallerRequest
    ) -> requeststate.RequestState:
        """Read and admit a request; raises ``ServiceError``."""
        await self._wait_for_configuration()
        now_ms = self._clock.now_ms()
        job = self._core.admit(facts, now_ms)
        self._check_headers(request)
        body = await self._read_body(request)
        fingerprint = scheduler.fingerprint_of(facts, body)
        self._core.check_blame(fingerprint)
        job = job._replace(fingerprint=fingerprint)
        self._core.check_stop(job, self.stop, now_ms)
        return requeststate.RequestState(
            job, body, calleranswer.CallerAnswer(request)
        )

    async def _wait_for_configuration(self) -> None:
        """Wait for the first reading of the store, which takes some 30 ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await self._parts.configured.wait()

    def _check_headers(self, request: web.BaseRequest) -> None:
        configuration = self._core.view.configuration
        size = sum(
            len(name) + len(field) + FIELD_FRAMING
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

    async def _serve_in_time(
        self, served: requeststate.RequestState
    ) -> web.StreamResponse:
        left_ms = served.job.end_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(left_ms, 0) / MS_PER_S):
                return await self._serve_tries(served)
        except TimeoutError:
            return self._fail(served, errors.DeadlinePassed())
        except errors.CallerGone as gone:
            self._outcomes.ended(served, gone.code, gone.detail)
            return served.answer.cut()
        except errors.ServiceError as error:
            return self._fail(served, error)

    async def _serve_tries(
        self, served: requeststate.RequestState
    ) -> web.StreamResponse:
        """Try targets until one has answered; raises ``ServiceError``."""
        while True:
            try:
                return await self._serve_once(served)
            except TRY_FAULTS as fault:
                if not self._may_try_again(fault, served):
                    raise self._not_served(served) from fault

    @functools.singledispatchmethod
    def _may_try_again(
        self, fault: Exception, served: requeststate.RequestState
    ) -> bool:
        """Decide after a try that ended before anything was sent."""
        served.tries_unsent += 1
        return served.tries_unsent <= MAX_UNSENT

    @_may_try_again.register
    def _may_send_again(
        self, fault: dispatch.TargetRefused, served: requeststate.RequestState
    ) -> bool:
        if fault.misdirected:
            # The target that was meant is gone and does not count as tried.
            served.tries_unsent += 1
        return served.tries_unsent <= MAX_UNSENT and self._has_try_left(served)

    @_may_try_again.register
    def _may_repeat(
        self, fault: dispatch.TargetBroken, served: requeststate.RequestState
    ) -> bool:
        repeat = served.job.route.repeat
        if repeat is fleetrecords.Repeat.ONLY_IF_NOT_RUN:
            return False
        return self._has_try_left(served)

    @_may_try_again.register
    def _may_resume(
        self, fault: dispatch.TargetTimedOut, served: requeststate.RequestState
    ) -> bool:
        # Decided before the silent target was given up.
        return True

    def _has_try_left(self, served: requeststate.RequestState) -> bool:
        return self._core.may_send_again(
            served.job, served.tries_sent, self._clock.now_ms()
        )

    def _not_served(
        self, served: requeststate.RequestState
    ) -> errors.ServiceError:
        if served.may_have_run:
            return errors.TargetFailed(run_state='may_have_run')
        return errors.Overloaded(retry_after_ms=self._core.retry_after_ms())

    async def _serve_once(
        self, served: requeststate.RequestState
    ) -> web.StreamResponse:
        """Serve by one target; raises ``TRY_FAULTS``."""
        assignment = await self._place(served)
        self._outcomes.placed(served, assignment)
        self._parts.peers.schedule_send()
        with contextlib.ExitStack() as stack:
            stack.callback(self._parts.peers.schedule_delayed_send)
            stack.callback(self._core.release, assignment)
            try:
                return await self._reserve_and_send(served, assignment)
            except TRY_FAULTS as fault:
                self._outcomes.fault(fault, served, assignment)
                raise

    async def _place(
        self, served: requeststate.RequestState
    ) -> exchangerecords.Assignment:
        """Place a try, after a wait if the scheduler allows one."""
        while True:
            now_ms = self._clock.now_ms()
            try:
                return self._core.place(
                    served.job, served.tried_target_ids, now_ms
                )
            except errors.Overloaded:
                if not self._core.may_wait(served.job, now_ms):
                    raise
            goal_s = served.job.route.goal_ms / MS_PER_S
            await asyncio.sleep(max(PLACE_AGAIN_S, goal_s * PLACE_AGAIN_GOALS))

    async def _reserve_and_send(
        self,
        served: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
    ) -> web.StreamResponse:
        async with self._parts.holder.held(assignment.reservations):
            answer = await self._send(served, assignment)
            with contextlib.ExitStack() as stack:
                stack.callback(answer.close)
                return await self._take_answer(served, assignment, answer)

    async def _send(
        self,
        served: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
    ) -> dispatch.Answer:
        """Send a try; until its outcome is known it may have run."""
        ran_before = served.may_have_run
        served.may_have_run = True
        left_ms = served.job.end_ms - self._clock.now_ms()
        sending = self._parts.dispatcher.send(
            dispatch.Try(
                served.job,
                served.body,
                assignment,
                left_ms,
                served.last_event_id,
            )
        )
        try:
            answer = await self._unless_silent(
                served, served.tries_sent + 1, sending
            )
        except dispatch.TargetUnreachable:
            served.may_have_run = ran_before
            raise
        except dispatch.TargetRefused as refused:
            served.may_have_run = ran_before
            if not refused.misdirected:
                served.tries_sent += 1
            raise
        except dispatch.TargetBroken:
            served.tries_sent += 1
            raise
        served.tries_sent += 1
        return answer

    async def _unless_silent(
        self,
        served: requeststate.RequestState,
        sent: int,
        coming: Coroutine[Any, Any, Received],
    ) -> Received:
        """Return what comes from the last of ``sent`` targets.

        Raises ``TargetTimedOut`` if nothing does and another target may be
        tried; otherwise the target has all the time that is left.
        """
        waiting = asyncio.ensure_future(coming)
        with contextlib.ExitStack() as stack:
            stack.callback(waiting.cancel)
            limit_ms = self._core.silence_limit_ms(
                served.job, self._clock.now_ms()
            )
            if limit_ms is not None:
                await asyncio.wait((waiting,), timeout=limit_ms / MS_PER_S)
                if not waiting.done() and self._may_leave(served, sent):
                    raise dispatch.TargetTimedOut(f'silent for {limit_ms} ms')
            return await waiting

    def _may_leave(self, served: requeststate.RequestState, sent: int) -> bool:
        now_ms = self._clock.now_ms()
        return self._core.has_target(
            served.job, served.tried_target_ids, now_ms
        ) and self._core.may_send_again(served.job, sent, now_ms)

    async def _take_answer(
        self,
        served: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        if dispatch.is_success(answer.status) and served.job.route.streaming:
            return await self._relay(served, assignment, answer)
        whole = await self._unless_silent(
            served, served.tries_sent, dispatch.read_buffered(answer)
        )
        if dispatch.is_success(whole.status):
            self._outcomes.success(served, assignment)
            return self._give_whole(served, whole)
        self._outcomes.failure(assignment)
        served.failure_answer = whole
        raise dispatch.TargetBroken(f'status {whole.status}')

    def _give_whole(
        self, served: requeststate.RequestState, whole: dispatch.BufferedAnswer
    ) -> web.StreamResponse:
        self._outcomes.ended(served, f'status_{whole.status}')
        if whole.status == dispatch.UNAVAILABLE:
            # The target does not state that the request did not run, which
            # this status would promise to the caller.
            return calleranswer.refusal(
                errors.TargetFailed(run_state='may_have_run'),
                served.job.request.attempt_id,
            )
        return web.Response(
            status=whole.status, headers=whole.headers, body=whole.body
        )

    async def _relay(
        self,
        served: requeststate.RequestState,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        """Relay a stream event by event; raises ``TargetBroken``."""
        headers = callerformat.answer_headers(answer.headers)
        splitter = relayedevents.EventSplitter()
        ending = dispatch.ending_of(answer)
        last_ms = 0
        try:
            while True:
                chunk = await self._unless_silent(
                    served, served.tries_sent, answer.content.readany()
                )
                if not chunk:
                    break
                now_ms = self._clock.now_ms()
                if last_ms:
                    self._outcomes.pause(served, assignment, now_ms - last_ms)
                else:
                    waited_ms = now_ms - assignment.placed_ms
                    self._outcomes.first_byte(served, assignment, waited_ms)
                    self._parts.peers.schedule_delayed_send()
                last_ms = now_ms
                for event in splitter.feed(chunk):
                    await served.answer.write(  # noqa: WPS476 - in order
                        answer.status, headers, event.encoded
                    )
                    served.last_event_id = (
                        event.event_id or served.last_event_id
                    )
            await dispatch.check_ending(ending)
        except dispatch.READ_FAULTS as broken:
            raise dispatch.TargetBroken(repr(broken)) from broken
        response = await served.answer.write(
            answer.status, headers, splitter.rest
        )
        await served.answer.end(response)
        dispatch.close(answer)
        self._outcomes.success(served, assignment)
        self._outcomes.ended(served, 'served')
        return response

    def _fail(
        self, served: requeststate.RequestState, error: errors.ServiceError
    ) -> web.StreamResponse:
        """Give the final answer of a request that is not served."""
        if served.answer.begun:
            self._outcomes.ended(served, f'cut_{error.code}', error.detail)
            return served.answer.cut()
        if served.failure_answer is not None:
            return self._give_whole(served, served.failure_answer)
        if served.may_have_run:
            error.run_state = 'may_have_run'
        if served.may_have_run and error.status == dispatch.UNAVAILABLE:
            error = errors.TargetFailed(run_state='may_have_run')
        self._outcomes.ended(served, error.code, error.detail)
        return calleranswer.refusal(error, served.job.request.attempt_id)

    def _refuse(
        self,
        request: web.BaseRequest,
        facts: exchangerecords.CallerRequest,
        error: errors.ServiceError,
    ) -> web.StreamResponse:
        """Answer a request that was not admitted."""
        self._parts.meters.count('requests', error.code)
        self._parts.log.write(
            'refused',
            id=facts.attempt_id,
            reason=error.code,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            revision=self._core.view.revision,
        )
        response = calleranswer.refusal(error, facts.attempt_id)
        if not request.content.at_eof():
            response.force_close()
        return response
