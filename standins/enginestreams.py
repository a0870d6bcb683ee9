"""
Engine streams
~~~~~~~~~~~~~~

Server-sent events of attempts: one event for each token, a comment as
heartbeat, a last ``done`` or ``error`` event. A stream reads the progress of
an attempt, so it can attach to a running attempt from any offset.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from bergamotstream import eventstream
from standins import answers, enginemodel, liveengine, serving

HEARTBEAT_S = 0.25
# Tokens that are written in one piece when a stream is behind.
BATCH_TOKENS = 64
STATUS_BY_VERDICT: Mapping[str, int] = {
    'busy': 503,
    'out_of_memory': 507,
    'duplicate': 409,
}


def submission_from(
    body: Mapping[str, Any], hold: bool
) -> enginemodel.Submission:
    """Build a submission; raises ``KeyError`` or ``ValueError``."""
    return enginemodel.Submission(
        attempt_id=str(body['attempt_id']),
        prompt_tokens=int(body['prompt_tokens']),
        output_tokens=0 if hold else int(body['max_output_tokens']),
        priority=int(body.get('priority', 0)),
        prefix_hashes=tuple(body.get('prefix_hashes', ())),
        offset=int(body.get('offset', 0)),
        hold=hold,
    )


def refusal(code: str, status: int, not_run: bool = True) -> web.Response:
    """Answer that an attempt was not accepted and whether it was run."""
    body = {'code': code, 'not_run': not_run}
    return web.json_response(body, status=status)


class Streams:
    """Handlers of streams; an open stream can be silenced."""

    def __init__(self, live: liveengine.LiveEngine) -> None:
        """Stream the attempts of ``live``."""
        self._live = live
        self._open: set[asyncio.Event] = set()

    def mute_open(self) -> None:
        """Make all open streams silent for ever; new ones work."""
        for muted in self._open:
            muted.set()

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Run an attempt, or attach to one with the query ``resume``."""
        attempt_id = request.query.get('resume', '')
        if attempt_id:
            offset = int(request.query.get('offset', '0'))
            return await self._attach(request, attempt_id, offset)
        body = await serving.read_json(request)
        return await self._run(request, body, hold=False)

    async def hold(self, request: web.Request) -> web.StreamResponse:
        """Prefill a segment of a group and keep it until cancelled."""
        body = await serving.read_json(request)
        return await self._run(request, body, hold=True)

    async def _run(
        self, request: web.Request, body: dict[str, Any], *, hold: bool
    ) -> web.StreamResponse:
        try:
            submission = submission_from(body, hold)
        except (KeyError, ValueError, TypeError) as fault:
            return refusal(f'invalid_request: {fault}', 400)
        offset = submission.offset
        expected = answers.answer_text(int(body.get('fingerprint', 0)), offset)
        if str(body.get('prefix', '')) != expected:
            return refusal('invalid_prefix', 400)
        verdict = self._live.submit(submission, body)
        if verdict != 'accepted':
            status = STATUS_BY_VERDICT[verdict]
            return refusal(verdict, status, verdict != 'duplicate')
        return await self._attach(request, submission.attempt_id, offset)

    async def _attach(
        self, request: web.Request, attempt_id: str, offset: int
    ) -> web.StreamResponse:
        progress = self._live.progress_by_attempt.get(attempt_id)
        if progress is None:
            return refusal('unknown_attempt', 404, not_run=False)
        response = web.StreamResponse()
        response.content_type = eventstream.CONTENT_TYPE
        await response.prepare(request)
        muted = asyncio.Event()
        self._open.add(muted)
        try:
            await self._copy(response, progress, offset, muted)
        except ConnectionError:
            if request.transport is not None:
                request.transport.abort()
        finally:
            self._open.discard(muted)
        return response

    async def _copy(
        self,
        response: web.StreamResponse,
        progress: liveengine.Progress,
        offset: int,
        muted: asyncio.Event,
    ) -> None:
        await response.write(eventstream.HEARTBEAT)
        while True:
            changed = progress.changed
            offset = await self._write_tokens(response, progress, offset, muted)
            if progress.ended == 'crashed':
                raise ConnectionResetError('the engine crashed')
            if progress.ended and offset >= progress.produced:
                break
            await _wait_for_change(changed, response, muted)
        await response.write(_last_event(progress))

    async def _write_tokens(
        self,
        response: web.StreamResponse,
        progress: liveengine.Progress,
        offset: int,
        muted: asyncio.Event,
    ) -> int:
        while offset < progress.produced:
            await _hang_if(muted)
            end = min(progress.produced, offset + BATCH_TOKENS)
            await response.write(
                b''.join(
                    _token_event(progress.fingerprint, index)
                    for index in range(offset, end)
                )
            )
            offset = end
        return offset


async def _wait_for_change(
    changed: asyncio.Event, response: web.StreamResponse, muted: asyncio.Event
) -> None:
    try:
        await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
    except TimeoutError:
        await _hang_if(muted)
        await response.write(eventstream.HEARTBEAT)
    await _hang_if(muted)


async def _hang_if(muted: asyncio.Event) -> None:
    """Never return when muted; a crash still breaks the connection."""
    while muted.is_set():
        await asyncio.sleep(HEARTBEAT_S)


def _token_event(fingerprint: int, index: int) -> bytes:
    text = answers.token_text(fingerprint, index)
    return eventstream.encode_event('chunk', {'offset': index, 'text': text})


def _last_event(progress: liveengine.Progress) -> bytes:
    if progress.ended in {'finished', 'exported'}:
        body = {'output_tokens': progress.produced, 'state': progress.ended}
        return eventstream.encode_event('done', body)
    return eventstream.encode_event('error', {'code': progress.ended})
