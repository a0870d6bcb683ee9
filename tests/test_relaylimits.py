"""Limits for callers, and requests that a host has a peer serve."""

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import calleranswer, relayformat
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

REQUESTS = 6
PARTS = ','.join(f'{0x5C1E0000 + part:x}:40' for part in range(1_000))
LONG_HEADS = {
    # Below the usual limit of 16,384 bytes, in one line and in many.
    'prompt': ({'Bergamotstream_Prompt_Prefix': PARTS}, 16_384),
    'lines': ({f'X_Line_{n}': 'x' * 500 for n in range(28)}, 16_384),
    # Longer in Base64 than any line that the HTTP library reads.
    'long': ({f'X_Line_{n}': f'{n}' * 20_000 for n in range(3)}, 65_536),
}
PATHS = ('/lookup/1', '/order/1', '/chat/1')


async def set_limits(system, **limits):
    """Change the operators' limits and wait until all hosts apply them."""
    usual = {'max_header_bytes': 16_384, 'max_body_bytes': 10_000}
    await system.store.put(
        'op/config', kit.configuration_document(2, limits=usual | limits)
    )
    await system.until(
        lambda: all(
            daemon._core.view.configuration.version == 2
            for daemon in system.daemons
        )
    )


def change_configuration(daemon, **changes):
    """Let a host know another configuration than its peers."""
    view = daemon._core.view
    view.configuration = view.configuration._replace(**changes)


async def statuses(system, path, body=b'', **headers):
    """Send requests to the host without links, one after the other."""
    return [
        (await system.call(path, body, **headers))[0] for _ in range(REQUESTS)
    ]


@pytest.mark.parametrize('kind', LONG_HEADS)
@pytest.mark.parametrize('path', PATHS)
async def test_long_head_is_served_through_a_peer(path, kind):
    """Guards against a peer that refuses the message between hosts."""
    headers, max_header_bytes = LONG_HEADS[kind]
    async with cutcases.running_system() as (system, cut):
        await set_limits(system, max_header_bytes=max_header_bytes)
        assert await statuses(system, path, **headers) == [200] * REQUESTS
        await relaycases.lose_links(system, cut, ['host-0'])
        assert await statuses(system, path, **headers) == [200] * REQUESTS
        # The caller's own limit stays.
        too_long = {f'X_Own_{n}': 'x' * 20_000 for n in range(4)}
        assert await statuses(system, path, **too_long) == [431] * REQUESTS


async def test_long_body_is_served_through_a_peer():
    """Guards against limits of the HTTP library, and of a peer, for bodies."""
    body = bytes(range(256)) * 8_192
    async with cutcases.running_system() as (system, cut):
        await set_limits(system, max_body_bytes=len(body))
        await relaycases.lose_links(system, cut, ['host-0'])
        assert await statuses(system, '/lookup/1', body) == [200] * REQUESTS
        too_long = await statuses(system, '/lookup/1', body + b'x')
        assert too_long == [413] * REQUESTS
    received = [
        request.body
        for target in cut.targets
        for request in target.received
        if len(request.body) > 1_000
    ]
    assert received == [body] * REQUESTS


@pytest.mark.parametrize('limit', ['max_header_bytes', 'max_body_bytes'])
async def test_limits_of_a_peer_that_is_behind_do_not_count(limit):
    """Guards against a peer that applies limits of an older configuration."""
    async with cutcases.running_system() as (system, cut):
        await relaycases.lose_links(system, cut, ['host-0'])
        for daemon in system.daemons[1:]:
            limits = daemon._core.view.configuration.limits
            change_configuration(daemon, limits=limits._replace(**{limit: 600}))
        long_head = {'X_Long': 'x' * 1_000}
        answered = await statuses(
            system, '/lookup/1', b'x' * 1_000, **long_head
        )
        assert answered == [200] * REQUESTS


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('field', ['routes_by_match', 'workspaces_by_key'])
@pytest.mark.parametrize('behind', [1, 2])
async def test_refusal_of_a_peer_that_is_behind_is_not_the_answer(
    path, field, behind
):
    """Guards against a request that ends by a peer's older configuration."""
    async with cutcases.running_system() as (system, cut):
        await relaycases.lose_links(system, cut, ['host-0'])
        for daemon in system.daemons[1 : 1 + behind]:
            change_configuration(daemon, **{field: {}})
        # With one sound peer all are served; without one they may come back.
        expected = 200 if behind == 1 else 503
        assert await statuses(system, path) == [expected] * REQUESTS


@pytest.mark.parametrize(
    'code',
    [
        'headers_too_large',
        'body_too_large',
        'invalid_message',
        'configuration_outdated',
    ],
)
async def test_refusal_of_an_older_build_is_not_the_answer(code):
    """Guards against a request that a peer of an older build refuses."""
    refused = []

    async def refuse(request):
        refused.append(request)
        return calleranswer.error_answer(
            errors.get_error_by_code(code)('older build'), 'a1'
        )

    async with cutcases.running_system() as (system, cut):
        await relaycases.lose_links(system, cut, ['host-0'])
        system.daemons[1]._answer_relayed = refuse
        assert await statuses(system, '/order/1') == [200] * REQUESTS
        # Peers are chosen at random.
        for _ in range(20):
            if refused:
                break
            assert await statuses(system, '/order/1') == [200] * REQUESTS
        assert refused


def test_short_head_is_one_line():
    """Guards against heads that hosts of earlier versions cannot read."""
    headers = {f'X_Line_{number}': 'x' * 500 for number in range(28)}
    head = relayformat.head_of(kit.make_request(**headers), 'h1', 900)
    lines = relayformat.encode(head)
    assert len(lines) == 1
    assert relayformat.decode(lines) == head
    headers = {f'X_Line_{number}': 'x' * 500 for number in range(120)}
    head = relayformat.head_of(kit.make_request(**headers), 'h1', 900)
    lines = relayformat.encode(head)
    assert len(lines) > 2
    assert relayformat.decode(lines) == head
