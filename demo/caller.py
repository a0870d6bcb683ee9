"""
Caller
~~~~~~

Sends requests as a caller would: it asks a host which address to use, keeps
the answer for as long as it may, comes back after a refusal and resumes a
broken stream. It checks each answer token by token.
"""

import asyncio
import time
import uuid
from typing import Any, NamedTuple

import aiohttp

from bergamotstream import eventstream
from demo import workload
from standins import answers

MAX_TRIES = 4
MS_PER_S = 1_000
HTTP_OK = 200
BROKEN = {'code': 'connection_broken', 'run_state': 'may_have_run'}


class Outcome(NamedTuple):
    """How a request ended: answered, refused, failed or wrong."""

    request: workload.PlannedRequest
    state: str
    detail: str = ''
    ttft_ms: int = 0
    key: str = ''


class Collected:
    """The answer of one request as received so far."""

    def __init__(self) -> None:
        """Start empty."""
        self.tokens = 0
        self.text = ''
        self.first_at_s: float = 0
        self.error: dict[str, Any] = {}
        self.errors: list[dict[str, Any]] = []
        self.done = False

    def add(self, event: eventstream.ServerEvent) -> None:
        """Take an event; raises ``ValueError`` if tokens are missing."""
        if event.event == 'chunk':
            if event.body['offset'] != self.tokens:
                raise ValueError(f'offset {event.body["offset"]}')
            self.first_at_s = self.first_at_s or time.monotonic()
            self.tokens += event.body['tokens']
            self.text += event.body['text']
        elif event.event == 'restart':
            self.tokens = 0
            self.text = ''
        elif event.event == 'error':
            self.error = dict(event.body)
        else:
            self.done = event.event == 'done'


class Caller:
    """Callers of all workspaces."""

    def __init__(self, http: aiohttp.ClientSession, first_host: str) -> None:
        """``first_host`` is asked for addresses first."""
        self._http = http
        self._first_host = first_host
        self._known: dict[str, tuple[float, list[str]]] = {}

    async def run_at(
        self, request: workload.PlannedRequest, at_s: float
    ) -> Outcome:
        """Send a request at a monotonic time in seconds."""
        await asyncio.sleep(max(at_s - time.monotonic(), 0))
        return await self.run(request)

    async def run(self, request: workload.PlannedRequest) -> Outcome:
        """Send a request and return how it ended."""
        body = {**request.body, 'request_id': uuid.uuid4().hex}
        if request.kind == 'transfer':
            body['idempotency_key'] = workload.new_key(request.number)
        key = body.get('idempotency_key', '')
        collected = Collected()
        began_s = time.monotonic()
        try:
            await self._try_repeatedly(body, collected)
        except (aiohttp.ClientError, OSError, ValueError) as fault:
            return Outcome(request, 'failed', repr(fault), key=key)
        ttft_ms = int((collected.first_at_s - began_s) * MS_PER_S)
        state, detail = judge(request, collected)
        return Outcome(request, state, detail, ttft_ms, key)

    async def _try_repeatedly(
        self, body: dict[str, Any], collected: Collected
    ) -> None:
        attempt = 0
        while attempt < MAX_TRIES:
            collected.error = {}
            hosts = await self._hosts(body['workspace'])
            url = f'http://{hosts[attempt % len(hosts)]}/v1/requests'
            if collected.tokens:
                url = f'{url}/{body["request_id"]}/resume'
                url = f'{url}?offset={collected.tokens}'
            attempt += 1
            try:
                await self._send(url, body, collected)
            except aiohttp.ClientConnectorError:
                if attempt == MAX_TRIES:
                    raise
            except (aiohttp.ClientError, OSError):
                # A key makes it safe to send a request again.
                if attempt == MAX_TRIES:
                    raise
                collected.errors.append(BROKEN)
            if collected.error:
                collected.errors.append(collected.error)
            wait_ms = collected.error.get('retry_after_ms', 0)
            if collected.done or (collected.error and not wait_ms):
                return
            await asyncio.sleep(wait_ms / MS_PER_S)

    async def _send(
        self, url: str, body: dict[str, Any], collected: Collected
    ) -> None:
        async with self._http.post(url, json=body) as response:
            if response.status != HTTP_OK:
                collected.error = await response.json()
                return
            decoder = eventstream.EventDecoder()
            async for received in response.content.iter_any():
                for event in decoder.feed(received):
                    collected.add(event)

    async def _hosts(self, workspace: str) -> list[str]:
        until_s, hosts = self._known.get(workspace, (0, []))
        if time.monotonic() < until_s:
            return hosts
        url = f'http://{self._first_host}/v1/address?workspace={workspace}'
        try:
            async with self._http.get(url) as response:
                response.raise_for_status()
                answer = await response.json()
        except aiohttp.ClientConnectorError:
            if not hosts:
                raise
            # Callers keep an answer while they cannot get a newer one.
            return hosts
        hosts = [host['address'] for host in answer['hosts']]
        until_s = time.monotonic() + answer['keep_ms'] / MS_PER_S
        self._known[workspace] = (until_s, hosts)
        return hosts


def judge(
    request: workload.PlannedRequest, collected: Collected
) -> tuple[str, str]:
    """Return the state of an answer and what is wrong with it."""
    if collected.error:
        told = [
            f'{error["code"]}/{error["run_state"]}'
            for error in collected.errors
        ]
        not_run = all(text.endswith('/not_run') for text in told)
        return ('refused' if not_run else 'failed'), ', '.join(told)
    if not collected.done:
        return 'failed', 'the stream ended early'
    wanted = _expected(request)
    if collected.text != wanted:
        return 'wrong', f'{collected.tokens} tokens'
    return 'answered', ''


def _expected(request: workload.PlannedRequest) -> str:
    body = request.body
    if request.plain:
        return answers.plain_answer(body['prompt'])
    number = answers.fingerprint_of(body['service'], body['prompt'])
    return answers.answer_text(number, body['max_output_tokens'])
