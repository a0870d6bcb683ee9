"""A host that runs alone, and callers that keep to no limit."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import subprocess
import sys

import aiohttp
import pytest

from tests import fakecorekit, hostilekit, hostprocesskit
from tests.hostilekit import Shape

CROWD = 60
START_TIMEOUT_S = 10.0
# Without crowds a host alone has about 55 MB.
LIMITS = {'caller_bytes': 33_554_432}
PEAK_MB = 160
BODY_BYTES = 8_000_000
HEAD = b'POST /v1/requests HTTP/1.1\r\nHost: h1\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % BODY_BYTES
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
SHAPES = {
    'body_short_of_its_end': Shape(HEAD + LENGTH + b'x' * (BODY_BYTES - 1)),
    'chunks_short_of_their_end': Shape(HEAD + CHUNKED, CHUNK, 122),
    'long_lines': Shape(
        HEAD, b''.join(b'n%d: %s\r\n' % (n, b'v' * 8_000) for n in range(120))
    ),
    'short_lines': Shape(HEAD, b'a:b\r\n' * 60_000),
    'endless_head': Shape(HEAD, b'a: ' + b'x' * 8_000 + b'\r\n', -1),
    'empty_lines': Shape(b'', b'\r\n' * 8_000, -1),
    'trailers': Shape(
        HEAD + CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n' * 8_000, -1
    ),
    'pipelined': Shape(
        b'', (HEAD + b'Content-Length: 0\r\n\r\n') * 200, -1, 0.0, reads=False
    ),
}


@contextlib.asynccontextmanager
async def alone_host(limits):
    """Yield the process of a host, and its address."""
    caller = fakecorekit.free_address()
    async with fakecorekit.running_engine() as (_, target):
        process = subprocess.Popen(
            [
                *(sys.executable, '-m', 'tests.alonehost'),
                *(caller, target, json.dumps(limits)),
            ],
            cwd=hostprocesskit.ROOT,
            env=os.environ | {'PYTHONPATH': str(hostprocesskit.ROOT)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            await hostprocesskit.wait_until(
                lambda: is_healthy(caller), START_TIMEOUT_S
            )
            yield process, caller
        finally:
            process.kill()
            process.wait()


async def is_healthy(caller):
    """Tell whether a host answers."""
    with contextlib.suppress(aiohttp.ClientError):
        async with aiohttp.ClientSession() as http:
            async with http.get(f'http://{caller}/healthz') as response:
                return response.status == 200
    return False


async def order(caller):
    """Send one ordinary request; return its status."""
    url = f'http://{caller}/v1/requests'
    async with aiohttp.ClientSession() as http:
        body = fakecorekit.request_body()
        async with http.post(url, json=body) as response:
            await response.read()
            return response.status


def peak_mb(process):
    """Return the peak of a process's resident memory."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1)) / 1024


@pytest.mark.parametrize('kind', SHAPES)
async def test_callers_do_not_use_up_the_memory_of_a_host_alone(kind):
    """Guards against a host that ends, or hangs, by what callers send."""
    async with alone_host(LIMITS) as (process, caller):
        tasks = [
            asyncio.ensure_future(hostilekit.press(caller, SHAPES[kind]))
            for _ in range(CROWD)
        ]
        await asyncio.sleep(hostilekit.CROWD_S)
        try:
            assert process.poll() is None
            assert await order(caller) == 200
            assert peak_mb(process) < PEAK_MB
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
