"""
Caller server
~~~~~~~~~~~~~

HTTP server for callers and operators: requests, resumption, addresses, admin
commands, metrics and health. Handlers turn requests into events of the core
and wait for its decisions.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from absl import logging
from aiohttp import web

from bergamotstream import (
    clock,
    delivery,
    errors,
    events,
    exporters,
    httpbodies,
    logs,
    metrics,
    openanswers,
    pacedrunner,
    queries,
    requestbody,
    settings,
)

DEFAULT_FORMAT = 'prometheus'
LISTEN_BACKLOG = 512
SOCKET_BUFFER_BYTES = 65_536

HttpHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerServer:
    """Routes of one host."""

    def __init__(
        self,
        config: settings.Settings,
        incoming: asyncio.Queue[events.Event],
        meters: metrics.Metrics,
        time: clock.Clock,
    ) -> None:
        """Put events into ``incoming``."""
        limits = config.limits
        self.open_answers = openanswers.OpenAnswers(
            limits.open_requests, limits.stream_buffer_bytes
        )
        self._config = config
        self._incoming = incoming
        self._meters = meters
        self._time = time
        self.queries = queries.Queries(incoming, time)
        self._runner = pacedrunner.PacedRunner(
            self._application(),
            meters,
            limits.caller_bytes,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1,
        )

    async def start(self) -> None:
        """Listen at the caller address."""
        await self._runner.setup()
        listener = _open_listener(self._config.caller_address)
        await web.SockSite(self._runner, listener).start()

    async def close(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=self._config.limits.body_bytes,
            middlewares=[typed_errors],
        )
        app.add_routes(
            [
                web.post('/v1/requests', self._submit),
                web.post('/v1/requests/{id}/resume', self._resume),
                web.get('/v1/address', self.queries.address),
                web.post('/admin', self.queries.admin),
                web.get('/metrics', self._metrics),
                web.get('/healthz', self._health),
            ]
        )
        return app

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        parsed = await self._parse(request)
        answer = self.open_answers.open(parsed, 0)
        event = events.RequestReceived(parsed.request, parsed.deadline_ms)
        self._incoming.put_nowait(event)
        return await self._deliver(request, parsed, answer, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        try:
            return await self._resume_by_id(request)
        except errors.ServiceError as error:
            # The request was sent before, here or to another host.
            error.run_state = 'may_have_run'
            raise

    async def _resume_by_id(self, request: web.Request) -> web.StreamResponse:
        offset = _parse_offset(request.query.get('offset', ''))
        parsed = await self._parse(request, request.match_info['id'])
        answer = self._find_open_answer(parsed)
        if answer is None:
            answer = self.open_answers.open(parsed, offset)
        if not answer.ended:
            event = events.ResumeReceived(
                parsed.request, parsed.deadline_ms, offset
            )
            self._incoming.put_nowait(event)
        return await self._deliver(request, parsed, answer, offset)

    def _find_open_answer(
        self, parsed: requestbody.ParsedRequest
    ) -> openanswers.OpenAnswer | None:
        """Return the answer if the request is open at this host."""
        answer = self.open_answers.by_request.get(parsed.request.request_id)
        if answer is None:
            return None
        if answer.request.body_digest != parsed.request.body_digest:
            raise errors.KeyConflict(
                'the request id belongs to another body',
                run_state='may_have_run',
            )
        return answer

    async def _parse(
        self, request: web.Request, request_id: str = ''
    ) -> requestbody.ParsedRequest:
        started_ms = self._time.now_ms()
        received = await httpbodies.read_body(request)
        parsed = requestbody.parse_request(
            received, self._time.wall_ms(), request_id
        )
        remaining_ms = parsed.deadline_ms - (self._time.now_ms() - started_ms)
        if remaining_ms <= 0:
            raise errors.DeadlinePassed(
                'the deadline passed while the body was received'
            )
        return parsed._replace(deadline_ms=remaining_ms)

    async def _deliver(
        self,
        request: web.Request,
        parsed: requestbody.ParsedRequest,
        answer: openanswers.OpenAnswer,
        offset: int,
    ) -> web.StreamResponse:
        reader_id = answer.attach(offset)
        writer = delivery.Delivery(request, answer, reader_id)
        try:
            response = await writer.deliver(parsed.stream)
        except (ConnectionError, asyncio.CancelledError) as fault:
            self._detach_reader(answer, reader_id)
            self._drop_connection(request, fault)
            raise
        if answer.reader_id == reader_id:
            self.open_answers.close(answer.request.request_id)
        return response

    def _detach_reader(
        self, answer: openanswers.OpenAnswer, reader_id: int
    ) -> None:
        """Report to the core unless a newer connection reads the answer."""
        if answer.reader_id != reader_id:
            return
        if not answer.ended:
            gone = events.CallerGone(answer.request.request_id)
            self._incoming.put_nowait(gone)
        self.open_answers.detach(answer)

    def _drop_connection(
        self, request: web.Request, fault: BaseException
    ) -> None:
        if isinstance(fault, delivery.CallerStalled):
            self._meters.count('callers_stalled')
        if request.transport is not None:
            request.transport.abort()

    async def _metrics(self, request: web.Request) -> web.Response:
        name = request.query.get('format', DEFAULT_FORMAT)
        try:
            exporter = exporters.get_exporter_by_name(name)()
        except KeyError:
            raise errors.InvalidRequest(f'format: unknown {name!r}') from None
        return web.Response(
            text=exporter.render(self._meters.snapshot()),
            content_type=exporter.content_type,
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'host': self._config.host,
                'open_requests': len(self.open_answers.by_request),
            }
        )


def _open_listener(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    # Connections inherit the buffer size; by default the kernel would buffer
    # megabytes for each caller that does not read.
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
    )
    return listener


@web.middleware
async def typed_errors(
    request: web.Request, handler: HttpHandler
) -> web.StreamResponse:
    """Turn every exception of a handler into a typed error."""
    try:
        return await handler(request)
    except ConnectionError:
        raise
    except Exception as fault:
        return _fault_response(fault)


def _fault_response(fault: Exception) -> web.Response:
    if isinstance(fault, errors.ServiceError):
        return delivery.error_response(fault)
    if isinstance(fault, web.HTTPRequestEntityTooLarge):
        return delivery.error_response(errors.BodyTooLarge())
    if isinstance(fault, web.HTTPException):
        invalid = errors.InvalidRequest(f'{fault.status} {fault.reason}')
        response = delivery.error_response(invalid)
        response.set_status(fault.status)
        return response
    logging.exception(
        '%s', logs.format_line('handler_failed', {'fault': fault})
    )
    unknown = errors.ServiceError(run_state='may_have_run')
    return delivery.error_response(unknown)


def _parse_offset(text: str) -> int:
    if not text.isdecimal() or int(text) > requestbody.MAX_OUTPUT_TOKENS:
        raise errors.InvalidRequest('offset: must be a count of tokens')
    return int(text)
