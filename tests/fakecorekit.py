"""
Helpers for tests of the shell
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A host process around a core double that sends each request to one target and
resumes broken streams, so that only input and output are under test.
"""

import asyncio
import contextlib
import socket

import aiohttp

from bergamotstream import (
    actions,
    events,
    eventstream,
    hostprocess,
    records,
    settings,
    state,
)
from standins import engine, enginemodel

FAST_ENGINE = enginemodel.EngineSettings(
    prefill_tokens_per_s=200_000, step_ms=2, cold_factor=1, report_lag_ms=50
)


def free_address():
    """Return a loopback address that nothing listens at."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def make_settings(**changes):
    """Return settings of one host with free ports."""
    config = settings.Settings(
        host='h1',
        availability_zone='rosario',
        cell='cell-1',
        caller_address=free_address(),
        peer_address=free_address(),
        platform=settings.Platform('http://127.0.0.1:1', 'http://127.0.0.1:1'),
    )
    return config._replace(**changes)


@contextlib.asynccontextmanager
async def running_engine(model=FAST_ENGINE, **options):
    """Run a model engine stand-in and yield it with its address."""
    address = free_address()
    app = engine.EngineApp('t1', address, model, **options)
    await app.start()
    try:
        yield app, address
    finally:
        await app.close()


class NoLinks:
    """Links without peers."""

    async def start(self):
        """Do nothing."""

    def send(self, host, message):
        """Drop the message."""

    async def close(self):
        """Do nothing."""


class NoKeyValues:
    """A key-value client that is never asked."""

    async def close(self):
        """Do nothing."""


class OneTargetCore:
    """Sends each request to one target and resumes what broke."""

    def __init__(self, config, address):
        """Keep every event in ``seen``."""
        self.state = state.HostState(config, 'test')
        self.seen = []
        self._address = address
        self._requests = {}

    def handle(self, event, now_ms):
        """Return the actions for one event."""
        self.seen.append(event)
        method = getattr(self, type(event).__name__, None)
        return method(event) if method else []

    def RequestReceived(self, event):
        """Dispatch as attempt ``a-<request id>``."""
        return [self._dispatch(event.request, resume=False)]

    def _dispatch(self, request, resume):
        attempt_id = f'a-{request.request_id}'
        self._requests[attempt_id] = request
        target = records.GrantedTarget(
            't1', self._address, request.prompt_tokens
        )
        return actions.Dispatch(
            attempt_id, request.request_id, (target,), 0, 9_000, resume=resume
        )

    def ResumeReceived(self, event):
        """Attach to the attempt again."""
        return [self._dispatch(event.request, resume=True)]

    def AttemptFinished(self, event):
        """End the answer."""
        return [actions.FinishRequest(event.attempt_id.removeprefix('a-'))]

    def AttemptFailed(self, event):
        """Resume a broken stream; refuse otherwise."""
        request = self._requests[event.attempt_id]
        if event.kind in {'lost', 'silent'}:
            return [self._dispatch(request, resume=True)]
        code = 'no_target' if event.kind == 'refused' else 'target_failed'
        run_state = 'not_run' if event.kind == 'refused' else 'may_have_run'
        return [
            actions.RefuseRequest(request.request_id, code, run_state, 1_500)
        ]

    def AdminAsked(self, event):
        """Echo the arguments."""
        return [actions.AnswerAdmin(event.query_id, '', event.arguments)]

    def StopRequested(self, event):
        """Stop at once."""
        return [actions.StopProcess()]

    def count(self, kind):
        """Return how many events of a kind were seen."""
        return sum(isinstance(event, kind) for event in self.seen)


@contextlib.asynccontextmanager
async def running_host(target_address='', **changes):
    """Run a host process; yield its core double, URL and HTTP session."""
    config = make_settings(**changes)
    double = OneTargetCore(config, target_address or free_address())
    process = hostprocess.HostProcess(
        config, double, NoKeyValues(), asyncio.Queue(), NoLinks()
    )
    task = asyncio.create_task(process.run())
    await asyncio.sleep(0.05)
    async with aiohttp.ClientSession(f'http://{config.caller_address}') as http:
        try:
            yield double, http, process
        finally:
            process.request_stop()
            await asyncio.wait_for(task, 5)


def request_body(**changes):
    """Return a valid body with changes; None removes a field."""
    body = {
        'workspace': 'acme',
        'service': 'asistente',
        'prompt': 'hello engine',
        'max_output_tokens': 20,
        'deadline_ms': 8_000,
        **changes,
    }
    return {field: entry for field, entry in body.items() if entry is not None}


async def read_events(response):
    """Return all events of a stream."""
    decoder = eventstream.EventDecoder()
    received = []
    async for block in response.content.iter_any():
        received.extend(decoder.feed(block))
    return received


def join_chunks(received):
    """Check that chunks follow each other and return their text."""
    expected = received[0].body['offset']
    texts = []
    for event in received:
        if event.event == 'chunk':
            assert event.body['offset'] == expected
            expected += event.body['tokens']
            texts.append(event.body['text'])
    return ''.join(texts)


def failure_kinds(seen):
    """Return the kinds of failed attempts."""
    return [
        event.kind for event in seen if isinstance(event, events.AttemptFailed)
    ]
