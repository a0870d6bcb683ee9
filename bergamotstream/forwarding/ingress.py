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
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias

import multidict
from aiohttp import web

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    answerlimits,
    calleranswer,
    continuations,
    dispatch,
    eventlog,
    exchangerecords,
    fingerprints,
    fleetrecords,
    openrequests,
    outcomes,
    peerexchange,
    peerformat,
    peerrelay,
    relayattempts,
    relayedadmission,
    relayedevents,
    relayformat,
    requestreads,
    requeststate,
    reservations,
    retrydecisions,
    scheduler,
    silence,
    streamrecords,
)
from bergamotstream.forwarding.waiting import places
from bergamotstream.platform import callerformat

MS_PER_S: Final = 1_000
# After this time the store is unavailable and the caller should use another
# host.
CONFIGURATION_TIMEOUT_S: Final = 0.25
# Requests of peers that are served at a time; more would delay the requests of
# this host's own callers.
MAX_OPEN_RELAYED: Final = 256

# Errors that end one try of a request without an answer.
TRY_FAULTS: Final = (
    dispatch.TargetUnreachable,
    dispatch.TargetRefused,
    dispatch.TargetBroken,
    reservations.MemoryRefused,
    peerrelay.PeerRefused,
)


# Writes an encoded event to a caller.
EventWriter: TypeAlias = Callable[[bytes], Awaitable[web.StreamResponse]]


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
    relay: peerrelay.PeerRelay


class Ingress:
    """The request handler of the callers' server."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Serve with ``dependencies``."""
        self.open_requests = 0
        self._open_relayed = 0
        self.open = openrequests.OpenRequests(dependencies.clock)
        self._dependencies = dependencies
        self._core = dependencies.core
        self._clock = dependencies.clock
        self._outcomes = dependencies.outcomes
        self._relays = relayattempts.RelayAttempts(
            dependencies.core,
            dependencies.relay,
            dependencies.peers,
            dependencies.log,
            dependencies.clock,
            dependencies.meters,
        )
        self._waits = places.PlaceWaits(
            dependencies.core,
            self._relays,
            dependencies.clock,
            dependencies.meters,
        )
        self._retries = retrydecisions.RetryDecisions(
            dependencies.core,
            dependencies.outcomes,
            dependencies.clock,
            self._relays,
        )
        self._silence = silence.SilenceMonitor(
            dependencies.core,
            dependencies.outcomes,
            self._retries,
            dependencies.log,
            dependencies.clock,
            dependencies.meters,
            self._start_try,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        caller_request = callerformat.parse_request(
            request.method, request.raw_path, request.headers
        )
        return await self._serve_counted(request, caller_request, None)

    async def handle_relayed(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a request of a peer whose links to targets fail."""
        try:
            head = relayformat.decode(
                request.headers.getall(relayformat.HEAD, [])
            )
        except errors.InvalidMessage as fault:
            self._dependencies.log.write('relay_unreadable', fault=fault)
            return calleranswer.error_answer(fault, '')
        caller_request = callerformat.parse_request(
            head.method, head.target, head.caller_headers()
        )
        with contextlib.ExitStack() as stack:
            self._open_relayed += 1
            stack.callback(self._count_relayed_end)
            return await self._serve_counted(request, caller_request, head)

    async def _serve_counted(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
        relayed: relayformat.RelayedHead | None,
    ) -> web.StreamResponse:
        with contextlib.ExitStack() as stack:
            self.open_requests += 1
            stack.callback(self._count_end)
            response = await self._serve(request, caller_request, relayed)
        if self.open.stop is not None:
            response.force_close()
        return response

    def _count_end(self) -> None:
        self.open_requests -= 1

    def _count_relayed_end(self) -> None:
        self._open_relayed -= 1

    async def _serve(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
        relayed: relayformat.RelayedHead | None,
    ) -> web.StreamResponse:
        try:
            state = await self._admit(request, caller_request, relayed)
            if relayed is not None:
                self._accept_relayed(state, relayed)
        except errors.ServiceError as error:
            return self._refuse(request, caller_request, error, relayed)
        try:
            return await self._serve_with_timeout(state)
        except asyncio.CancelledError:
            self._outcomes.record_end(state, 'caller_gone')
            raise

    async def _admit(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
        relayed: relayformat.RelayedHead | None,
    ) -> requeststate.RequestState:
        """Read and admit a request; raises ``ServiceError``.

        The operators' limits bound what callers send. The host that relays a
        request has checked them, and its message is longer.
        """
        await self._wait_for_configuration()
        now_ms = self._clock.now_ms()
        self._core.check_outdated(
            now_ms, self._dependencies.peers.are_mostly_ahead
        )
        if relayed is None:
            job = self._core.admit(caller_request, now_ms)
        else:
            job = relayedadmission.admit(
                self._core,
                caller_request,
                relayed.decision,
                now_ms,
                is_sender_ahead=self._dependencies.peers.is_ahead(
                    relayed.sender
                ),
            )
        limits = None if relayed else self._limits()
        if limits is not None:
            requestreads.check_headers(request, limits)
        body = await requestreads.read_body(
            request, limits, job.end_ms - now_ms
        )
        job = fingerprints.identify(job, body)
        if relayed and relayed.trial_part in job.parts:
            job = job._replace(trial_part=relayed.trial_part)
        else:
            job = self._core.start_trial(job, now_ms)
        self._core.check_blame(job, now_ms)
        self._outcomes.record_trial(job)
        self._core.check_shutdown(
            job, self.open.stop, now_ms, self._dependencies.peers.has_ready
        )
        is_last = self.open.stop is not None
        return requeststate.RequestState(
            job, body, calleranswer.CallerAnswer(request, is_last=is_last)
        )

    def _accept_relayed(
        self,
        state: requeststate.RequestState,
        relayed: relayformat.RelayedHead,
    ) -> None:
        """Go on with the request of a peer; raises ``Overloaded``."""
        if self._open_relayed > MAX_OPEN_RELAYED:
            raise errors.Overloaded(
                f'relayed={self._open_relayed}',
                retry_after_ms=self._core.retry_after_ms(),
            )
        state.relayed_by = relayed.sender
        state.relayed_tries = relayed.tries_sent
        state.tried_target_ids.update(relayed.reached_target_ids)
        state.is_counted = relayed.is_counted
        self._relays.record_received(state)

    async def _wait_for_configuration(self) -> None:
        """Wait for the first read of the store, which takes about 30 ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIGURATION_TIMEOUT_S):
                await self._dependencies.configured.wait()

    def _limits(self) -> fleetrecords.CallerLimits:
        configuration = self._core.view.configuration
        if configuration is None:
            raise errors.ConfigurationUnknown
        return configuration.limits

    async def _serve_with_timeout(
        self, state: requeststate.RequestState
    ) -> web.StreamResponse:
        try:
            async with self.open.limit(state):
                return await self._serve_with_retries(state)
        except TimeoutError:
            return self._fail(state, self.open.timeout_error(state))
        except errors.CallerGone as gone:
            self._outcomes.record_end(state, gone.code, gone.detail)
            return state.answer.abort()
        except errors.ServiceError as error:
            return self._fail(state, error)

    async def _serve_with_retries(
        self, state: requeststate.RequestState
    ) -> web.StreamResponse:
        """Try targets until one has answered; raises ``ServiceError``.

        A peer serves the request if this host does not reach the targets.
        """
        async with state.running as running:
            self._start_try(state)
            while True:
                ended, task = (
                    await running.wait_for_end()  # noqa: WPS476 - in turn
                )
                try:
                    return task.result()
                except TRY_FAULTS as fault:
                    self._handle_fault(state, fault)
                except errors.ServiceError as error:
                    self._handle_error(ended, error)

    def _start_try(self, state: requeststate.RequestState) -> None:
        started = state.add_try()
        state.running.start(started, self._try_once(started))

    def _handle_fault(
        self, state: requeststate.RequestState, fault: Exception
    ) -> None:
        """Start a further try unless one runs that is not silent.

        Raises ``ServiceError`` if nothing can serve the request any more.
        """
        if state.running and not state.is_silent:
            return
        if self._retries.may_retry(fault, state):
            self._start_try(state)
        elif not state.running:
            raise self._retries.final_error(state) from fault

    def _handle_error(
        self, ended: requeststate.Try, error: errors.ServiceError
    ) -> None:
        """Raise the error of a try unless another one still runs."""
        state = ended.request
        if isinstance(error, errors.CallerGone) or not state.running:
            raise error
        if not ended.is_sent:
            self._core.budget.give_back(state.job.service.name)
        self._silence.record_refusal(state, error)

    async def _try_once(self, served: requeststate.Try) -> web.StreamResponse:
        """Try a target or a peer; raises ``TRY_FAULTS``."""
        try:
            return await self._try_destination(served)
        except errors.ServiceError as error:
            served.outcome = error.code
            raise

    async def _try_destination(
        self, served: requeststate.Try
    ) -> web.StreamResponse:
        """Try a target, or a peer if none can be tried over own links."""
        state = served.request
        peer = self._relays.choose_peer(state)
        if peer is not None:
            return await self._try_peer(served, peer)
        try:
            return await self._try_target(served)
        except relayattempts.CellFull as full:
            peer = full.peer
        except errors.NoTarget:
            state.is_out_of_targets = self._relays.is_possible(state)
            peer = self._relays.choose_peer(state)
            if peer is None:
                raise
        return await self._try_peer(served, peer)

    async def _try_peer(
        self, served: requeststate.Try, peer: peerformat.HostState
    ) -> web.StreamResponse:
        """Let a peer serve the request; raises ``TRY_FAULTS``."""
        served.destination = peer.entry.name
        served.request.tried_peers.add(peer.entry.name)
        sent_ms = self._clock.now_ms()
        self._relays.record_sent(served.request, peer)
        try:
            answer = await self._relays.send(
                served, peer, self._silence.handle_silence
            )
            with contextlib.ExitStack() as stack:
                stack.callback(answer.close)
                return await self._handle_peer_answer(served, peer, answer)
        except TRY_FAULTS as fault:
            served.outcome = type(fault).__name__
            self._relays.record_fault(served, peer, fault, sent_ms)
            raise

    async def _handle_peer_answer(
        self,
        served: requeststate.Try,
        peer: peerformat.HostState,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        receive = functools.partial(
            self._relays.receive, served, peer, self._silence.handle_silence
        )
        self._outcomes.statements.record_relayed(answer.headers)
        if answer.status in errors.NOT_RUN_STATUSES:
            # Only peers of earlier versions pass such a status on.
            raise errors.TargetFailed(
                f'status {answer.status} at a peer', run_state='may_have_run'
            )
        if dispatch.is_success(answer.status) and served.job.route.streaming:
            record = streamrecords.StreamRecord(receive, served)
            return await self._relay(served, record, answer)
        buffered = await receive(
            dispatch.read_buffered(answer, self._core.held)
        )
        relayformat.take_run(buffered.headers)
        is_success = dispatch.is_success(buffered.status)
        if is_success or len(served.request.running) <= 1:
            served.request.use_only(served)
            return self._buffered_response(served.request, buffered)
        served.request.failure_answer = buffered
        raise dispatch.TargetErrorAnswer(f'status {buffered.status}')

    async def _try_target(self, served: requeststate.Try) -> web.StreamResponse:
        """Serve the request by one target; raises ``TRY_FAULTS``."""
        state = served.request
        if not state.is_counted:
            state.is_counted = True
            self._core.budget.record_request(
                state.job.service.name, self._clock.now_ms()
            )
        assignment = await self._waits.place(state)
        self._outcomes.record_placement(served, assignment)
        self._dependencies.peers.schedule_send()
        with contextlib.ExitStack() as stack:
            stack.callback(self._dependencies.peers.schedule_delayed_send)
            stack.callback(self._core.release, assignment)
            try:
                return await self._reserve_and_send(served, assignment)
            except TRY_FAULTS as fault:
                served.outcome = type(fault).__name__
                self._outcomes.record_fault(fault, served, assignment)
                raise
            except asyncio.CancelledError:
                self._outcomes.record_cancelled(served, assignment)
                raise

    async def _reserve_and_send(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> web.StreamResponse:
        async with self._dependencies.memory_reservations.held(
            assignment.reservations
        ):
            answer = await self._send(served, assignment)
            with contextlib.ExitStack() as stack:
                stack.callback(answer.close)
                return await self._handle_answer(served, assignment, answer)

    async def _send(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> dispatch.Answer:
        """Send a try; until its outcome is known it may have run."""
        state = served.request
        target_id = assignment.target.target_id
        served.mark_sent()
        served.is_unanswered = True
        state.reached_target_ids.add(target_id)
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
            answer = await self._silence.receive(served, assignment, sending)
        except dispatch.TargetUnreachable:
            served.mark_not_run(is_sent=False)
            state.reached_target_ids.discard(target_id)
            raise
        except dispatch.TargetRefused as refused:
            served.mark_not_run(is_sent=not refused.misdirected)
            state.reached_target_ids.discard(target_id)
            raise
        served.is_unanswered = False
        return answer

    async def _handle_answer(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        receive = functools.partial(self._silence.receive, served, assignment)
        if dispatch.is_success(answer.status) and served.job.route.streaming:
            record = streamrecords.TargetStreamRecord(
                receive,
                self._outcomes,
                served,
                assignment,
                self._dependencies.peers,
            )
            return await self._relay(served, record, answer)
        buffered = await receive(
            dispatch.read_buffered(answer, self._core.held)
        )
        streamrecords.name_target(served.request, assignment, buffered.headers)
        if dispatch.is_success(buffered.status):
            self._outcomes.record_success(served, assignment)
            served.request.use_only(served)
            return self._buffered_response(served.request, buffered)
        self._outcomes.record_failure(assignment)
        served.request.failure_answer = buffered
        raise dispatch.TargetErrorAnswer(f'status {buffered.status}')

    def _buffered_response(
        self,
        state: requeststate.RequestState,
        buffered: dispatch.BufferedAnswer,
    ) -> web.StreamResponse:
        self._outcomes.record_end(state, f'status_{buffered.status}')
        return web.Response(
            status=buffered.status, headers=buffered.headers, body=buffered.body
        )

    async def _relay(
        self,
        served: requeststate.Try,
        record: streamrecords.StreamRecord,
        answer: dispatch.Answer,
    ) -> web.StreamResponse:
        """Relay a stream event by event; raises ``TargetBroken``."""
        state = served.request
        headers = record.headers_of(answer)
        # Another target may complete the stream with a different length.
        headers.popall('Content-Length', None)
        continuation = continuations.Continuation(
            state.passed,
            continuations.Head(answer.status, answer.content_type),
        )
        splitter = relayedevents.EventSplitter()
        ending = dispatch.ending_of(answer)
        with contextlib.ExitStack() as stack:
            # The traceback of a fault keeps the splitter for longer.
            stack.callback(splitter.clear)
            try:
                await self._relay_events(
                    served, record, answer, headers, splitter, continuation
                )
                record.record_end(ending.framing, splitter)
                await _check_stream_end(state, ending, splitter, continuation)
            except (
                continuations.WrongContinuation,
                answerlimits.LimitExceeded,
            ) as wrong:
                # The target has answered, so it still runs.
                raise dispatch.TargetErrorAnswer(str(wrong)) from wrong
            except dispatch.READ_FAULTS as broken:
                raise dispatch.TargetBroken(repr(broken)) from broken
            rest = splitter.rest
        state.use_only(served)
        response = await state.answer.write(answer.status, headers, rest)
        await state.answer.end(response)
        dispatch.close(answer)
        record.record_success()
        self._outcomes.record_end(state, 'served')
        return response

    async def _relay_events(
        self,
        served: requeststate.Try,
        record: streamrecords.StreamRecord,
        answer: dispatch.Answer,
        headers: multidict.CIMultiDict[str],
        splitter: relayedevents.EventSplitter,
        continuation: continuations.Continuation,
    ) -> None:
        """Relay whole events until the end of what the target sends."""
        last_chunk_ms = 0
        write = functools.partial(
            served.request.answer.write, answer.status, headers
        )
        continuation.check_head(served.job.request.max_answer_tokens)
        with self._core.held.open(answer.content.set_exception) as holding:
            while chunk := await record.receive(answer.content.readany()):
                now_ms = self._clock.now_ms()
                record.record_chunk(
                    now_ms, now_ms - last_chunk_ms if last_chunk_ms else None
                )
                last_chunk_ms = now_ms
                await _pass_events(served, write, splitter, continuation, chunk)
                served.events = splitter.received_events
                holding.resize(splitter.pending_bytes)

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
        if error.http_status != error.status:
            error = errors.TargetFailed(
                f'after a try: {error.code} {error.detail}',
                run_state=error.run_state,
            )
        self._outcomes.record_end(state, error.code, error.detail)
        return calleranswer.error_answer(error, state.job.request.attempt_id)

    def _refuse(
        self,
        request: web.BaseRequest,
        caller_request: exchangerecords.CallerRequest,
        error: errors.ServiceError,
        relayed: relayformat.RelayedHead | None,
    ) -> web.StreamResponse:
        """Answer a request that was not admitted."""
        self._dependencies.meters.count('requests', error.code)
        self._outcomes.refusals.record(
            error, caller_request, relayed.sender if relayed else ''
        )
        response = calleranswer.error_answer(error, caller_request.attempt_id)
        if not request.content.at_eof():
            response.force_close()
        return response


async def _pass_events(
    served: requeststate.Try,
    write: EventWriter,
    splitter: relayedevents.EventSplitter,
    continuation: continuations.Continuation,
    chunk: bytes,
) -> None:
    """Pass on the events that are complete after a chunk, in turns."""
    state = served.request
    for event in splitter.feed(chunk):
        continuation.check(event)
        if _takes_over(served, event, continuation):
            await write(event.encoded)  # noqa: WPS476 - in order
            continuation.record(event)
            state.last_event_id = event.event_id or state.last_event_id
        if splitter.is_turn_over():
            await asyncio.sleep(0)  # noqa: WPS476 - others' turn


def _takes_over(
    served: requeststate.Try,
    event: relayedevents.RelayedEvent,
    continuation: continuations.Continuation,
) -> bool:
    """Tell whether the caller gets an event, whose try then goes on alone.

    A comment decides nothing while several tries run.
    """
    if not continuations.is_comment(event):
        served.request.use_only(served)
        return True
    return len(served.request.running) <= 1 or continuation.has_joined


async def _check_stream_end(
    state: requeststate.RequestState,
    ending: dispatch.Ending,
    splitter: relayedevents.EventSplitter,
    continuation: continuations.Continuation,
) -> None:
    """Raise one of ``READ_FAULTS`` if a stream may have been broken off.

    Only a stream that resumes after its last event may hold no event, unless
    its framing says so.
    """
    await dispatch.check_ending(ending)
    splitter.check_end()
    continuation.check_end(state.job.request.max_answer_tokens)
    if len(state.running) > 1 and not splitter.received_events:
        raise ValueError('stream ended without an event beside another try')
    is_closed = ending.framing is dispatch.Framing.CLOSE
    if is_closed and not splitter.received_events and not state.last_event_id:
        raise ValueError('stream ended without an event')
