"""Failures of real processes: killed, paused and silent ones."""

import asyncio
import time

from demo import fleet, operators, workload
from tests import failurekit

STREAM_TOKENS = 500
PAUSE_S = 4
KV_PAUSE_S = 5
LIMIT_S = 10


async def test_callers_resume_after_their_host_is_killed(tmp_path):
    """Guards against answers that end with the host that relayed them."""
    async with failurekit.running_fleet(tmp_path) as running:
        callers = running.caller(1)
        streams = [
            asyncio.create_task(
                callers.run(failurekit.request(each, 'short', STREAM_TOKENS))
            )
            for each in range(5)
        ]
        await running.wait_for_open(1, len(streams))
        await callers.wait_for_first_token()
        assert not any(each.done for each in callers.received)
        running.children.kill(running.planned.hosts[1].name)
        outcomes = await asyncio.gather(*streams)
    states = [(outcome.state, outcome.detail) for outcome in outcomes]
    assert states == [('answered', '')] * len(streams)
    assert any('/resume?' in url for url in callers.urls), callers.urls


async def test_a_paused_host_uses_no_lost_rights(tmp_path):
    """Guards against a resumed host that acts on its former ownership."""
    async with failurekit.running_fleet(tmp_path) as running:
        callers = running.caller(1)
        kinds = ('short', 'transfer', 'lookup', 'transfer') * 4
        tasks = [
            asyncio.create_task(
                callers.run_timed(failurekit.request(each, kind, 200))
            )
            for each, kind in enumerate(kinds)
        ]
        await running.wait_for_open(1, 4)
        async with running.paused(running.planned.hosts[1].name):
            await asyncio.sleep(PAUSE_S)
        shown = await running.command(1, 'partitions.show')
        assert shown['owned'] == []
        timed = await asyncio.gather(*tasks)
        outcomes = [outcome for outcome, _ in timed]
        assert not await running.execution_faults(outcomes)
        owned = [
            name
            for host in range(3)
            for name in (await running.command(host, 'partitions.show'))[
                'owned'
            ]
        ]
    assert max(spent_ms for _, spent_ms in timed) < failurekit.DEADLINE_MS
    repeatable = [each for each in outcomes if each.request.kind != 'transfer']
    assert {(each.state, each.detail) for each in repeatable} == {
        ('answered', '')
    }
    assert all(each.state != 'wrong' for each in outcomes)
    assert owned and len(owned) == len(set(owned))


async def test_a_paused_key_value_service_refuses_only_claims(tmp_path):
    """Guards against lost routing or untrue refusals in a KV outage."""
    async with failurekit.running_fleet(tmp_path) as running:
        callers = running.caller(0)
        key = workload.new_key(1)
        async with running.paused('kv'):
            until_s = time.monotonic() + KV_PAUSE_S
            number = 0
            while time.monotonic() < until_s:
                number += 1
                kind = ('short', 'lookup')[number % 2]
                outcome = await callers.run(failurekit.request(number, kind, 5))
                assert (outcome.state, outcome.detail) == ('answered', '')
                status, body, retry_after = await _transfer(running, key)
                assert (status, body['code']) == (503, 'claims_unavailable'), (
                    body
                )
                assert body['run_state'] == 'not_run'
                assert int(retry_after) > 0
                assert await _executions(running, key) == 0
        async with asyncio.timeout(failurekit.DEADLINE_MS / 1_000):
            while (await _transfer(running, key))[0] != 200:
                await asyncio.sleep(0.2)
        assert await _executions(running, key) == 1


async def test_a_killed_key_value_service_leaves_routing_alone(tmp_path):
    """Guards against hosts that stop serving when KV is gone for good."""
    async with failurekit.running_fleet(tmp_path) as running:
        callers = running.caller(0, 1, 2)
        running.children.kill('kv')
        kinds = ('short', 'lookup', 'transfer') * 3
        outcomes = await asyncio.gather(
            *(
                callers.run(failurekit.request(each, kind, 20))
                for each, kind in enumerate(kinds)
            )
        )
    for outcome in outcomes:
        if outcome.request.kind == 'transfer':
            assert outcome.state == 'refused', outcome
            assert 'claims_unavailable/not_run' in outcome.detail, outcome
        else:
            assert outcome.state == 'answered', outcome


async def test_a_silent_engine_connection_is_replaced(tmp_path):
    """Guards against answers that wait for ever or miss a token."""
    async with failurekit.running_fleet(tmp_path) as running:
        callers = running.caller(0)
        streams = [
            asyncio.create_task(
                callers.run(failurekit.request(each, 'short', STREAM_TOKENS))
            )
            for each in range(5)
        ]
        await running.wait_for_open(0, len(streams))
        await asyncio.sleep(1)
        for engine in running.planned.engines:
            url = f'http://{engine.address}/faults'
            async with running.http.post(url, json={'kind': 'silent'}) as done:
                assert done.status == 200
        outcomes = await asyncio.gather(*streams)
        log = (tmp_path / f'{running.planned.hosts[0].name}.log').read_text()
    assert {each.state for each in outcomes} == {'answered'}, outcomes
    assert len(callers.urls) == len(streams)
    assert 'kind=silent' in log


async def _transfer(running, key):
    body = {
        **failurekit.request(1, 'transfer').body,
        'service': fleet.PLAIN_SERVICE,
        'idempotency_key': key,
    }
    address = running.planned.hosts[0].caller_address
    url = f'http://{address}/v1/requests'
    async with running.http.post(url, json={**body, 'stream': False}) as done:
        return done.status, await done.json(), done.headers.get('Retry-After')


async def _executions(running, key):
    counted = 0
    for plain in running.planned.plains:
        async with running.http.get(f'http://{plain.address}/stats') as stats:
            counted += (await stats.json())['executions'].get(key, 0)
    return counted


async def test_fleet_is_ready_once_all_hosts_are_members(monkeypatch):
    """Guards against tests that pause the only member of a cell."""
    planned = fleet.plan_fleet()
    targets = [*planned.engines, *planned.plains]
    calls_by_address = {}

    async def answer(_http, address, name):
        if name == 'targets.show':
            return {'targets': [{'owner': 'any'} for _ in targets]}
        calls = calls_by_address[address] = calls_by_address.get(address, 0) + 1
        joined = min(calls, len(planned.hosts))
        return {
            'hosts': [
                {'name': host.name, 'member': number < joined}
                for number, host in enumerate(planned.hosts)
            ]
        }

    monkeypatch.setattr(operators, 'command', answer)
    async with asyncio.timeout(LIMIT_S):
        await operators.wait_until_ready(None, planned)
    assert set(calls_by_address.values()) == {len(planned.hosts)}
