"""Requests that are open while the configuration changes."""

import asyncio
import contextlib
import json

import pytest

from tests import platformkit as kit

OPEN_S = 0.8
OTHER_KEY = 'key-2'
SLOW = {'timeout_ms': 4_000, 'goal_ms': 3_000}


def document(version, routes=None, tenants=None, **limits):
    """Return a configuration with slow routes, some of them changed."""
    body = json.loads(kit.configuration_document(version))
    changes = routes or {}
    body['routes'] = [
        entry | SLOW | changes.get(entry['name'], {})
        for entry in body['routes']
        if changes.get(entry['name'], {}) is not None
    ]
    body['services'].append({'name': 'other', 'health_path': '/h'})
    body['limits'] |= limits
    if tenants is not None:
        body['tenants'] = tenants
    return json.dumps(body).encode()


def all_routes(change):
    return dict.fromkeys(('lookup', 'order', 'chat'), change)


CHANGES = {
    'removed': {'routes': all_routes(None)},
    'moved': {'routes': all_routes({'service': 'other'})},
    'no service': {'routes': all_routes({'service': 'none'})},
    'once': {'routes': all_routes({'kind': 'non_idempotent', 'attempts': 1})},
    'key': {'tenants': [{'name': 'small', 'api_keys': [OTHER_KEY]}]},
    'workspace': {'tenants': [{'name': 'large', 'api_keys': [kit.KEY]}]},
    'limits': {'max_header_bytes': 40, 'max_body_bytes': 1},
}
PATHS = ('/lookup/1', '/order/1', '/chat/1')


async def change(system, **changes):
    await system.store.put('op/config', document(3, **changes))
    view = system.daemons[0]._core.view
    await system.until(lambda: view.configuration.version == 3)


@contextlib.asynccontextmanager
async def started_system(respond):
    """Yield a system with a target for each service, and these targets."""
    async with contextlib.AsyncExitStack() as stack:
        system = await stack.enter_async_context(
            kit.running_system(document=document(2))
        )
        targets = {}
        for service in ('plain', 'model', 'other'):
            target = await stack.enter_async_context(kit.raw_target(respond))
            await system.add_target(service, target, service=service, slots=1)
            targets[service] = target
        yield system, targets


async def respond_slowly(request, writer):
    """Answer after the configuration has changed."""
    if kit.ATTEMPT not in request.headers:
        writer.write(kit.answer(request))
        return
    if not request.request_line.split()[1].startswith('/chat'):
        await asyncio.sleep(OPEN_S)
        writer.write(kit.answer(request))
        return
    writer.write(kit.stream_head(request))
    for number in range(1, 7):
        writer.write(kit.chunk(kit.event(number)))
        await writer.drain()
        await asyncio.sleep(OPEN_S / 6)
    writer.write(b'0\r\n\r\n')


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('kind', CHANGES)
async def test_request_at_a_target_is_served_over_a_change(kind, path):
    """Guards against answers that a change of the configuration replaces."""
    async with started_system(respond_slowly) as (system, targets):
        call = asyncio.ensure_future(system.call(path, b'body'))
        await asyncio.sleep(0.3)
        await change(system, **CHANGES[kind])
        status, _, body = await call
        assert status == 200
        assert body.count(b'data:') == (6 if path == '/chat/1' else 0)
        assert not targets['other'].received


@pytest.mark.parametrize('kind', CHANGES)
async def test_body_that_is_read_over_a_change_is_judged_once(kind):
    """Guards against a request that two configurations judge in parts."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    async with started_system(respond) as (system, targets):
        ip, _, port = system.settings[0].caller_address.partition(':')
        reader, writer = await asyncio.open_connection(ip, port)
        with contextlib.closing(writer):
            writer.write(
                f'POST /order/1 HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
                f'Api-Key: {kit.KEY}\r\n{kit.ATTEMPT}: a1\r\n'
                'Content-Length: 8\r\n\r\nbody'.encode()
            )
            await asyncio.sleep(0.3)
            await change(system, **CHANGES[kind])
            writer.write(b'body')
            status = await reader.readline()
        assert b' 200 ' in status
        (run,) = [
            request
            for request in targets['plain'].received
            if kit.ATTEMPT in request.headers
        ]
        assert run.headers['Bergamotstream-Tenant'] == 'small'
        assert run.body == b'bodybody'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('kind', CHANGES)
async def test_request_that_waits_for_a_place_is_not_refused_by_a_change(
    monkeypatch, kind, path
):
    """Guards against 401 and 404 for requests that were admitted before."""
    async with started_system(respond_slowly) as (system, targets):
        core = system.daemons[0]._core
        place = core.place
        waiting = []

        def place_later(job, *others):
            if core.view.configuration.version == 2:
                waiting.append(job)
                raise core._overloaded('all places are taken')
            return place(job, *others)

        monkeypatch.setattr(core, 'place', place_later)
        call = asyncio.ensure_future(system.call(path, b'body'))
        await system.until(lambda: waiting)
        await change(system, **CHANGES[kind])
        status, _, _ = await call
        assert status == 200
        assert not targets['other'].received
