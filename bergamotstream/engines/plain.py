"""
Plain service client
~~~~~~~~~~~~~~~~~~~~

Client of plain services. A repeatable call goes to ``/v1/lookup``, one with
an idempotency key to ``/v1/transfer``; the answer is ``{"text": ...}``.
"""

import asyncio
import json
from typing import Any

import aiohttp
import pydantic

from bergamotstream import engines, events, records

CALL_TIMEOUT = aiohttp.ClientTimeout(total=2)
MAX_ANSWER_BYTES = 262_144
HTTP_OK = 200

_report_adapter = pydantic.TypeAdapter(records.LoadReport)


@engines.register
class PlainClient(engines.EngineClient):
    """Client of plain services.

    Options: a repeatable call times out after ``timing.silent_ms``. A call
    that must not be repeated waits until its deadline, because an earlier
    timeout would only leave its outcome unknown.
    """

    name = 'plain'
    aliases = ('http',)

    async def perform(self, attempt: engines.Attempt) -> events.Event:
        """Make the call and deliver its answer as one token."""
        dispatch = attempt.dispatch
        async with asyncio.timeout(self._timeout_s(attempt)):
            text = await self._post_call(attempt)
        self.emit(events.FirstToken(dispatch.attempt_id))
        await attempt.sink.deliver(dispatch.attempt_id, 0, (text,))
        return events.AttemptFinished(dispatch.attempt_id, 1, text.encode())

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Do nothing; plain calls cannot be cancelled."""

    async def read_load(self, target: records.TargetInfo) -> records.LoadReport:
        """Read the load report."""
        url = f'http://{target.address}/v1/load'
        async with self.session.get(url, timeout=CALL_TIMEOUT) as response:
            response.raise_for_status()
            return _report_adapter.validate_json(await response.read())

    def _timeout_s(self, attempt: engines.Attempt) -> float:
        if attempt.request.idempotency_key:
            return attempt.dispatch.remaining_ms / engines.MS_PER_S
        return self.silence_timeout_s

    async def _post_call(self, attempt: engines.Attempt) -> str:
        dispatch = attempt.dispatch
        body = {
            'attempt_id': dispatch.attempt_id,
            'key': attempt.request.idempotency_key,
            'payload': attempt.prompt,
        }
        call = 'transfer' if attempt.request.idempotency_key else 'lookup'
        url = f'http://{dispatch.targets[-1].address}/v1/{call}'
        async with self.session.post(url, json=body) as response:
            return _answer_text(response.status, await _read_bounded(response))


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    received = bytearray()
    async for block in response.content.iter_any():
        received += block
        if len(received) > MAX_ANSWER_BYTES:
            raise engines.AttemptFault('rejected')
    return bytes(received)


def _answer_text(status: int, received: bytes) -> str:
    """Return the text of the answer; raises :class:`AttemptFault`."""
    body: dict[str, Any] = json.loads(received)
    if status == HTTP_OK:
        return str(body['text'])
    if body.get('not_run') is True:
        raise engines.AttemptFault('refused')
    raise engines.AttemptFault('rejected')
