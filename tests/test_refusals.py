"""Log lines, counters and gauges of requests that a host refuses itself."""

import asyncio

import aiohttp
import pytest

from bergamotstream import explanations
from tests import platformkit as kit

HEAD = f'Host: {kit.HOST_NAME}\r\nApi-Key: {kit.KEY}\r\n'


class Lines:
    """What a host logs, as parsed lines."""

    def __init__(self, monkeypatch, system):
        self.found = []
        log = system.daemons[0]._log
        write = log.write

        def record(event, **fields):
            self.found.append((event, fields))
            write(event, **fields)

        monkeypatch.setattr(log, 'write', record)

    def of(self, event):
        return [fields for found, fields in self.found if found == event]


async def metrics_of(system):
    address = system.daemons[0]._entry.peer_address
    async with aiohttp.ClientSession() as session:
        async with session.get(f'http://{address}/metrics') as response:
            return await response.text()


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status', 'code', 'detail'),
    [
        ('/none/1', b'', {}, 404, 'unknown_route', 'path=/none/1 known=3'),
        ('/order/1', b'', {'Api_Key': 'no'}, 401, 'unknown_key', 'route=order'),
        (
            '/order/1',
            b'',
            {'X_Long': 'x' * 20_000},
            431,
            'headers_too_large',
            'limit 16384',
        ),
        ('/order/1', b'x' * 20_000, {}, 413, 'body_too_large', 'limit 10000'),
    ],
    ids=['route', 'key', 'head', 'body'],
)
async def test_refusal_names_the_configuration_that_decided(
    monkeypatch, path, body, headers, status, code, detail
):
    """Guards against a refusal whose log line does not tell its cause."""
    async with kit.running_system() as system:
        await system.store.put('op/config', kit.configuration_document(7))
        view = system.daemons[0]._core.view
        await system.until(lambda: view.in_force.version == 7)
        lines = Lines(monkeypatch, system)
        answered, _, _ = await system.call(path, body, **headers)
        text = await metrics_of(system)
    assert answered == status
    (line,) = lines.of('caller_refused')
    assert (line['status'], line['reason']) == (status, code)
    assert detail in line['detail']
    assert line['version'] == 7
    assert (line['era'], line['from_era']) == (1, 1)
    assert 0 < line['from_revision'] <= line['revision']
    assert line['in_force_ms'] >= 0
    assert kit.KEY not in str(line)
    assert f'bergamotstream_refusals_total{{label="{status} {code}"}} 1' in text
    assert 'bergamotstream_configuration{label="version"} 7.0' in text


async def test_bytes_that_are_no_request_leave_a_line(monkeypatch):
    """Guards against a 400 of the HTTP library that no line tells of."""
    async with kit.running_system() as system:
        lines = Lines(monkeypatch, system)
        ip, _, port = system.settings[0].caller_address.partition(':')
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(f'GET /lookup/1 HTTP/1.1\r\n{HEAD}a b: c\r\n\r\n'.encode())
        status = await reader.readline()
        writer.close()
    assert b' 400 ' in status
    (line,) = lines.of('caller_refused')
    assert (line['status'], line['reason']) == (400, 'unreadable')
    assert line['detail']


async def test_host_without_a_configuration_says_so(monkeypatch):
    """Guards against a refusal that looks like one by a configuration."""
    async with kit.running_system() as system:
        view = system.daemons[0]._core.view
        lines = Lines(monkeypatch, system)
        view.configuration = None
        view.in_force = type(view.in_force)()
        status, _, _ = await system.call('/lookup/1')
    assert status == 503
    (line,) = lines.of('refused')
    assert (line['reason'], line['version']) == ('configuration_unknown', 0)
    assert line['in_force_ms'] == -1


def test_refused_head_is_explained():
    """Guards against a refusal that the command calls an open request."""
    line = 'event=caller_refused id=a1 reason=headers_too_large status=431'
    assert 'limit' in explanations.explain([line], 'a1').meaning


@pytest.mark.parametrize(
    ('line', 'status'),
    [
        (b'GET /order/1 HTTP/1.1\r\nApi-Key: \xff\xfe', 401),
        (b'GET /order/1 HTTP/1.1\r\n' + b'Api-Key: no\r\n' * 1_000, 401),
        (b'GET /' + b'n' * 16_000 + b'/1 HTTP/1.1\r\nApi-Key: no', 404),
        (b'GET /order/' + b'n' * 900_000 + b' HTTP/1.1', 431),
    ],
    ids=['no text', 'many keys', 'long path', 'long path of a route'],
)
async def test_odd_request_leaves_a_short_line(monkeypatch, line, status):
    """Guards against refusals that end in a fault or fill the log."""
    async with kit.running_system() as system:
        lines = Lines(monkeypatch, system)
        ip, _, port = system.settings[0].caller_address.partition(':')
        reader, writer = await asyncio.open_connection(ip, port)
        key = HEAD if status == 431 else f'Host: {kit.HOST_NAME}\r\n'
        head = line.removesuffix(b'\r\n') + b'\r\n' + key.encode()
        writer.write(head + b'\r\n')
        answered = await reader.readline()
        writer.close()
    assert f' {status} '.encode() in answered
    (refused,) = lines.of('caller_refused')
    assert len(str(refused)) < 1_000
