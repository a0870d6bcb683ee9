"""
Model engine client
~~~~~~~~~~~~~~~~~~~

Client of engines that stream tokens as server-sent events. The targets of
a group grant hold its prompt segments, one after the other; the last target
imports the segments of the others and generates the answer.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator, Mapping
from typing import Any

import aiohttp
import pydantic

from bergamotstream import (
    engines,
    events,
    eventstream,
    outsidedata,
    records,
)

CALL_TIMEOUT = aiohttp.ClientTimeout(total=2)
# Loading weights takes much longer than other calls.
ORDER_TIMEOUT = aiohttp.ClientTimeout(total=30)
READ_BYTES = 65_536
HTTP_OK = 200
HTTP_CONFLICT = 409
# The owner cancelled the attempt or the engine has restarted. Neither is a
# fault of the request, which may continue on another target.
LOST_CODES = frozenset(('cancelled', 'unknown_attempt'))
# Attempts that failed like this may still run; the core resumes them.
RESUMABLE_KINDS = frozenset(('lost', 'silent'))

_report_adapter = pydantic.TypeAdapter(records.LoadReport)


@engines.register
class ModelClient(engines.EngineClient):
    """Client of model engines.

    Options: a stream times out after ``timing.silent_ms`` without a byte;
    engines send a heartbeat every 250 ms.
    """

    name = 'model'
    aliases = ('engine',)

    async def perform(self, attempt: engines.Attempt) -> events.Event:
        """Hold the segments of a group, then generate on the last target."""
        dispatch = attempt.dispatch
        if not dispatch.resume:
            await self._hold_segments(attempt)
        return await self._generate(attempt)

    async def clean_up(
        self, attempt: engines.Attempt, finished: events.Event
    ) -> None:
        """Free held segments unless the attempt may be resumed."""
        if getattr(finished, 'kind', '') in RESUMABLE_KINDS:
            return
        attempt_id = attempt.dispatch.attempt_id
        await asyncio.gather(
            *(
                self.cancel(target.address, attempt_id)
                for target in attempt.dispatch.targets[:-1]
            )
        )

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Cancel an attempt at one target; faults are ignored."""
        try:
            await self._post(
                f'http://{address}/v1/cancel', {'attempt_id': attempt_id}
            )
        except (aiohttp.ClientError, OSError, ValueError):
            # The owner cancels attempts without a live grant anyway.
            return

    async def read_load(self, target: records.TargetInfo) -> records.LoadReport:
        """Read the load report, which lags behind the engine's state."""
        body = await self._read(f'http://{target.address}/v1/load')
        return _report_adapter.validate_python(body)

    async def read_cache_events(
        self, target: records.TargetInfo, after: int
    ) -> list[events.PrefixesReported]:
        """Read the cache events after a sequence number."""
        url = f'http://{target.address}/v1/events?after={after}'
        body = await self._read(url)
        return [
            events.PrefixesReported(
                target.name,
                int(entry['sequence']),
                tuple(entry['added']),
                tuple(entry['removed']),
            )
            for entry in body['events']
        ]

    async def send_order(
        self, address: str, fence: int, order: Mapping[str, Any]
    ) -> Mapping[str, Any]:
        """Send an order and return ``status`` and ``state``."""
        body = {'fence': fence, 'order': dict(order)}
        url = f'http://{address}/v1/orders'
        return await self._post(url, body, ORDER_TIMEOUT)

    async def _hold_segments(self, attempt: engines.Attempt) -> None:
        # In order, because each segment attends to the ones before it.
        remaining_targets = list(attempt.dispatch.targets[:-1])
        held_tokens = 0
        while remaining_targets:
            target = remaining_targets.pop(0)
            body = _segment_body(attempt, held_tokens, target.tokens)
            await self._hold(f'http://{target.address}/v1/hold', body)
            held_tokens += target.tokens

    async def _hold(self, url: str, body: Mapping[str, Any]) -> None:
        """Wait until the engine has exported the segment."""
        async with contextlib.aclosing(self._events(url, body)) as received:
            async for event in received:
                if event.event == 'done':
                    return
        raise _truncated_error()

    async def _generate(self, attempt: engines.Attempt) -> events.Event:
        dispatch = attempt.dispatch
        offset = attempt.sink.offset
        url = f'http://{dispatch.targets[-1].address}/v1/generate'
        body = _generate_body(attempt, offset)
        if dispatch.resume:
            url = f'{url}?resume={dispatch.attempt_id}&offset={offset}'
            body = {}
        stream = self._events(url, body, dispatch.attempt_id)
        async with contextlib.aclosing(stream) as received:
            return await self._relay(attempt, received)

    async def _relay(
        self,
        attempt: engines.Attempt,
        received: AsyncIterator[eventstream.ServerEvent],
    ) -> events.Event:
        dispatch = attempt.dispatch
        is_first = not (dispatch.resume and attempt.sink.offset)
        async for event in received:
            if event.event == 'done':
                return _finished_event(attempt, event.body)
            if is_first:
                self.emit(events.FirstToken(dispatch.attempt_id))
                is_first = False
            await attempt.sink.deliver(
                dispatch.attempt_id,
                int(event.body['offset']),
                (str(event.body['text']),),
            )
        raise _truncated_error()

    async def _events(
        self, url: str, body: Mapping[str, Any], started_attempt_id: str = ''
    ) -> AsyncGenerator[eventstream.ServerEvent, None]:
        """Yield the events of a stream."""
        decoder = eventstream.EventDecoder()
        response = await self._open(url, body)
        if response.status == HTTP_CONFLICT:
            # The attempt was dispatched by a host that has died since.
            response.close()
            response = await self._open(_resume_url(url, body), {})
        async with response:
            await _check_accepted(response)
            if started_attempt_id:
                self.emit(events.AttemptStarted(started_attempt_id))
            while received := await self._receive(response):
                for event in _raise_on_error(decoder.feed(received)):
                    yield event

    async def _open(
        self, url: str, body: Mapping[str, Any]
    ) -> aiohttp.ClientResponse:
        async with asyncio.timeout(self.silence_timeout_s):
            return await self.session.post(url, json=body)

    async def _receive(self, response: aiohttp.ClientResponse) -> bytes:
        async with asyncio.timeout(self.silence_timeout_s):
            return await response.content.read(READ_BYTES)

    async def _post(
        self,
        url: str,
        body: Mapping[str, Any],
        timeout: aiohttp.ClientTimeout = CALL_TIMEOUT,
    ) -> dict[str, Any]:
        async with self.session.post(
            url, json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            return _decode_object(await response.read())

    async def _read(self, url: str) -> dict[str, Any]:
        async with self.session.get(url, timeout=CALL_TIMEOUT) as response:
            response.raise_for_status()
            return _decode_object(await response.read())


def _resume_url(url: str, body: Mapping[str, Any]) -> str:
    """Return the URL to resume an attempt that the engine already runs."""
    base = url.rpartition('/')[0]
    offset = body.get('offset', 0)
    return f'{base}/generate?resume={body["attempt_id"]}&offset={offset}'


def _truncated_error() -> aiohttp.ClientError:
    return aiohttp.ClientPayloadError('stream ended without its final event')


def _decode_object(received: bytes) -> dict[str, Any]:
    decoded = outsidedata.decode_json(received)
    if not isinstance(decoded, dict):
        raise ValueError('response is not a JSON object')
    return decoded


async def _check_accepted(response: aiohttp.ClientResponse) -> None:
    """Raise unless the engine accepted the attempt."""
    if response.status == HTTP_OK:
        return
    body = _decode_object(await response.read())
    raise _fault_from_body(body)


def _fault_from_body(body: Mapping[str, Any]) -> engines.AttemptFault:
    """Return the fault that an error body of the engine stands for."""
    code = str(body.get('code', ''))
    if body.get('not_run') is True:
        return engines.AttemptFault('refused', code)
    kind: events.FailureKind = 'rejected'
    if code in LOST_CODES:
        kind = 'lost'
    return engines.AttemptFault(kind, code)


def _raise_on_error(
    received: list[eventstream.ServerEvent],
) -> Iterator[eventstream.ServerEvent]:
    """Yield events; raises the fault of an error event."""
    for event in received:
        if event.event == 'error':
            raise _fault_from_body(event.body)
        yield event


def _finished_event(
    attempt: engines.Attempt, body: Mapping[str, Any]
) -> events.AttemptFinished:
    """Return the success; raises unless each token was delivered."""
    tokens = int(body['output_tokens'])
    if tokens != attempt.sink.offset:
        raise aiohttp.ClientPayloadError(
            f'{attempt.sink.offset} of {tokens} tokens were delivered'
        )
    return events.AttemptFinished(attempt.dispatch.attempt_id, tokens)


def _segment_body(
    attempt: engines.Attempt, start: int, tokens: int
) -> dict[str, Any]:
    return {
        'attempt_id': attempt.dispatch.attempt_id,
        'prompt': attempt.prompt,
        'segment_start': start,
        'prompt_tokens': tokens,
        'prefix_hashes': _segment_hashes(attempt, start, tokens),
        'priority': attempt.dispatch.engine_priority,
        'remaining_ms': attempt.dispatch.remaining_ms,
    }


def _generate_body(attempt: engines.Attempt, offset: int) -> dict[str, Any]:
    targets = attempt.dispatch.targets
    held_tokens = sum(target.tokens for target in targets[:-1])
    tokens = attempt.request.prompt_tokens - held_tokens
    return {
        **_segment_body(attempt, held_tokens, tokens),
        'max_output_tokens': attempt.request.max_output_tokens,
        'fingerprint': attempt.request.fingerprint,
        'imports': [target.address for target in targets[:-1]],
        'offset': offset,
        'prefix': attempt.generated_text,
    }


def _segment_hashes(
    attempt: engines.Attempt, start: int, tokens: int
) -> tuple[int, ...]:
    first = start // records.BLOCK_TOKENS
    last = (start + tokens) // records.BLOCK_TOKENS
    return attempt.request.prefix_hashes[first:last]
