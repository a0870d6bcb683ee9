"""Odd messages of peers, and odd headers of callers and targets."""

import asyncio
import logging
import os

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import errors
from bergamotstream.forwarding import (
    connections,
    eventlog,
    fleetrecords,
    namedlimits,
    peerformat,
    peerrelay,
    relayformat,
)
from tests import oddkit
from tests import platformkit as kit


def state_message(**changes):
    fields = {
        'name': 'host-9',
        'zone': 'rosario',
        'callerAddress': '127.0.0.1:81',
        'peerAddress': '127.0.0.1:82',
        'incarnation': 1,
        'sequence': 1,
    } | changes
    return peerformat.SCHEMA.HostState.new_message(**fields).to_bytes_packed()


ODD_STATES = {
    'no_peer_address': {'peerAddress': ''},
    'peer_address_without_port': {'peerAddress': '127.0.0.1'},
    'peer_address_by_name': {'peerAddress': 'peer.example:80'},
    'port_out_of_range': {'peerAddress': '127.0.0.1:99999'},
    'long_port': {'peerAddress': '127.0.0.1:' + '9' * oddkit.LONG},
    'no_caller_address': {'callerAddress': 'x'},
    'no_name': {'name': ''},
    'name_over_two_lines': {'name': 'a\nb'},
    'revision_too_large': {'storeRevision': (1 << 64) - 1},
}


@pytest.mark.parametrize('kind', ODD_STATES)
def test_odd_state_of_a_peer_is_refused(kind):
    """Guards against numbers and addresses that fail in each placement."""
    with pytest.raises(errors.InvalidMessage):
        state = peerformat.decode(state_message(**ODD_STATES[kind]), 0)
        tuple(state.own_commitments)


@pytest.mark.parametrize('kind', ODD_STATES)
async def test_odd_message_of_a_peer_ends_no_host(kind):
    """Guards against one datagram that ends a host or all its placements."""
    async with (
        kit.running_system() as system,
        kit.raw_target(oddkit.answer_plain) as target,
    ):
        await system.add_target('t1', target)
        host, _, port = system.settings[0].peer_address.rpartition(':')
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        transport.sendto(state_message(**ODD_STATES[kind]))
        await asyncio.sleep(0.9)
        transport.close()
        assert oddkit.is_alive(system)
        assert 'host-9' not in system.daemons[0]._peers.peers_by_name
        status, _, _ = await system.call('/lookup/1')
        assert status == 200


ODD_PARTS = {
    'failing_nan': {
        'notes': [{'targetId': 't1', 'failing': float('nan'), 'slowness': 1}]
    },
    'slowness_infinite': {
        'notes': [{'targetId': 't1', 'failing': 0, 'slowness': float('inf')}]
    },
    'limit_nan': {
        'limits': [
            {
                'targetId': 't1',
                'startedMs': 1_000,
                'isTold': True,
                'isLimited': True,
                'perS': float('nan'),
            }
        ]
    },
    'limit_negative': {
        'limits': [
            {
                'targetId': 't1',
                'startedMs': 1_000,
                'isTold': True,
                'isLimited': True,
                'perS': -1.0,
            }
        ]
    },
    'prefill_nan': {
        'commitments': [{'targetId': 't1', 'readMs': float('nan')}]
    },
    'prefill_infinite': {
        'commitments': [{'targetId': 't1', 'readMs': float('inf')}]
    },
    'value_negative_infinite': {
        'commitments': [{'targetId': 't1', 'value': float('-inf')}]
    },
}


@pytest.mark.parametrize('kind', ODD_PARTS)
def test_odd_part_of_a_peers_state_costs_no_other_part(kind):
    """Guards against a number that fails in each placement."""
    fine = {
        'commitments': {'targetId': 't2', 'readMs': 5.0, 'value': 1.0},
        'notes': {'targetId': 't2', 'failing': 0.5, 'slowness': 2.0},
        'limits': {'targetId': 't2', 'startedMs': 1, 'sentAgesMs': [5]},
    }
    changes = {
        name: [*ODD_PARTS[kind].get(name, []), entry]
        for name, entry in fine.items()
    }
    state = peerformat.decode(state_message(**changes), 0)
    assert [entry.target_id for entry in state.own_commitments] == ['t2']
    assert [entry.target_id for entry in state.health_estimates] == ['t2']
    assert [entry.run.target_id for entry in state.limits] == ['t2']


def test_age_of_seven_weeks_is_sent_to_peers():
    """Guards against a host that ends where the store is away for long."""
    state = peerformat.decode(state_message(), 0)
    aged = peerformat.encode(state._replace(ready=True), 1 << 33)
    assert peerformat.decode(aged, 0).ready


@hypothesis.given(strategies.binary(max_size=400))
def test_any_bytes_of_a_peer_are_decoded_or_refused(datagram):
    """Guards against an unexpected fault on arbitrary bytes of a peer."""
    try:
        state = peerformat.decode(datagram, 0)
        tuple(state.own_commitments)
    except errors.InvalidMessage:
        return
    assert state.entry.name


SOUND_STATE = state_message(
    commitments=[{'targetId': 't1', 'readMs': 5.0, 'value': 1.0}],
    notes=[{'targetId': 't1', 'failing': 0.5, 'slowness': 2.0}],
    limits=[{'targetId': 't1', 'isTold': True, 'isLimited': True, 'perS': 2.0}],
    lostServices=['plain'],
    failingTargets=[{'targetId': 't1', 'startedMs': 1, 'ageMs': 5}],
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, len(SOUND_STATE) - 1),
            strategies.integers(0, 255),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_damaged_message_of_a_peer_is_decoded_or_refused(damages):
    """Guards against an unexpected fault on a damaged message."""
    damaged = bytearray(SOUND_STATE)
    for position, byte in damages:
        damaged[position] = byte
    try:
        state = peerformat.decode(bytes(damaged), 0)
        tuple(state.own_commitments)
    except errors.InvalidMessage:
        return
    own = state._replace(sequence=2)
    assert peerformat.encode(own, 0)


def test_header_of_a_relayed_request_that_is_no_base64_is_refused():
    """Guards against a fault of the program for what a peer sends."""
    for text in ('é', 'AAA', '\udcff', '%%%%', ''):
        with pytest.raises(errors.InvalidMessage):
            relayformat.decode(text)


@pytest.mark.parametrize(
    'changes',
    [
        {'method': 'GET\r\nX: y'},
        {'method': ''},
        {'target': '/a\r\nX: y'},
        {'target': 'a'},
        {'headers': (('A\r\nB', 'c'),)},
        {'headers': (('', 'c'),)},
        {'headers': (('A', 'c\r\nB: d'),)},
        {'last_event_id': 'a\r\nB: c'},
    ],
)
def test_relayed_request_that_cannot_be_sent_is_refused(changes):
    """Guards against a target that is blamed for a peer's message."""
    head = relayformat.RelayedHead(
        sender='host-9',
        method='POST',
        target='/lookup/1',
        headers=(('Host', 'a'),),
        keys=(),
        remaining_ms=1_000,
        tries_sent=0,
        reached_target_ids=(),
        last_event_id='',
        is_counted=False,
    )
    assert relayformat.decode(relayformat.encode(head)) == head
    with pytest.raises(errors.InvalidMessage):
        relayformat.decode(relayformat.encode(head._replace(**changes)))


@pytest.mark.parametrize(
    ('body', 'retry_after'),
    [
        (b'[' * oddkit.DEEP, '1'),
        (b'{"code": "overloaded", "run_state": "not_run"}', '1e999'),
        (b'{"code": "overloaded", "run_state": "not_run"}', '1e300'),
        (b'{"code": "overloaded", "run_state": "not_run"}', 'nan'),
        (b'{"code": "overloaded", "run_state": "not_run"}', '-5'),
        (b'{"code": ["a"], "run_state": "not_run"}', '1'),
        (b'{"code": "overloaded", "run_state": ["a"]}', '1'),
        (b'[]', '1'),
    ],
)
async def test_odd_refusal_of_a_peer_is_a_known_error(body, retry_after):
    """Guards against a fault of the program for what a peer answers."""

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            f'HTTP/1.1 503 Busy\r\nRetry-After: {retry_after}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await writer.drain()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    peer = fleetrecords.HostEntry('host-9', 'rosario', address, address, 1)
    async with server, connections.open_session(reuse=True) as session:
        relay = peerrelay.PeerRelay(session, 'host-1')
        head = relayformat.head_of(kit.make_request(), 'host-1', 1_000)
        known = (
            peerrelay.dispatch.TargetBroken,
            peerrelay.PeerRefused,
            errors.ServiceError,
        )
        with pytest.raises(known) as raised:
            await relay.send(peer, head, b'')
        if isinstance(raised.value, errors.ServiceError):
            assert 0 <= raised.value.retry_after_ms <= 60_000
            assert isinstance(raised.value.run_state, str)


@pytest.mark.parametrize(
    'counts',
    [
        '10,5000000000',
        '10,' + '9' * oddkit.LONG,
        '9' * oddkit.LONG,
        '5000000000,10',
        '٣,٣',
    ],
)
async def test_odd_token_counts_of_a_caller_end_no_host(counts):
    """Guards against one request whose size no message to peers can hold."""

    async def respond(request, writer):
        await asyncio.sleep(0.3)
        events = kit.chunk(kit.event(1)) + kit.chunk(b'')
        writer.write(kit.stream_head(request) + events)
        await writer.drain()

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target, service='model', slots=8)
        headers = {'Bergamotstream_Token_Counts': counts}
        status, _, _ = await system.call('/chat/1', **headers)
        assert status != 500
        await asyncio.sleep(0.3)
        assert oddkit.is_alive(system)
        status, _, _ = await system.call('/chat/2')
        assert status == 200


@hypothesis.given(strategies.text(max_size=40))
def test_any_header_of_a_caller_is_parsed(text):
    """Guards against an unexpected fault on any count of a caller."""
    request = kit.make_request(
        **{
            'Bergamotstream_Token_Counts': text,
            'Bergamotstream_Deadline_Ms': text,
            'Bergamotstream_Length_Hint': text,
            'Bergamotstream_Prompt_Prefix': text,
        }
    )
    assert 0 <= request.prompt_tokens < 1 << 32


def test_text_that_is_no_utf8_is_logged():
    """Guards against a line that ends the task which writes it."""
    reading, writing = os.pipe()
    handler = eventlog.PipeHandler(writing)
    record = logging.LogRecord(
        'a', logging.INFO, '', 0, 'event=x at=\udcff', (), None
    )
    handler.emit(record)
    assert os.read(reading, 100) == b'event=x at=\\udcff\n'
    os.close(reading)
    os.close(writing)


@hypothesis.given(strategies.lists(strategies.text(max_size=20), max_size=3))
def test_any_named_limit_is_read(texts):
    """Guards against an unexpected fault on any header of a target."""
    per_s, _ = namedlimits.parse(texts, None)
    assert per_s is None or 0 <= per_s <= namedlimits.MAX_PER_S


def test_short_message_states_no_list_of_millions():
    """Guards against a datagram of 300 bytes that stops a host for seconds."""
    fields = {
        'name': 'host-9',
        'zone': 'rosario',
        'callerAddress': '127.0.0.1:81',
        'peerAddress': '127.0.0.1:82',
        'incarnation': 1,
    }
    message = peerformat.SCHEMA.HostState.new_message(**fields)
    encoded = bytearray(message.to_bytes())
    data_words = int.from_bytes(encoded[12:14], 'little')
    # The list of commitments, after four texts: entries of no size.
    start = 16 + 8 * data_words + 8 * 4
    pointer = 1 | (4_000_000 << 35)
    encoded[start : start + 8] = pointer.to_bytes(8, 'little')
    packed = b''.join(
        b'\xff' + bytes(encoded[place : place + 8]) + b'\0'
        for place in range(0, len(encoded), 8)
    )
    with pytest.raises(errors.InvalidMessage):
        peerformat.decode(packed, 0)


async def test_id_of_a_request_that_is_no_text():
    """Guards against an error of the host for an id that is not UTF-8."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target)
        reader, writer = await asyncio.open_connection(
            *system.settings[0].caller_address.split(':')
        )
        writer.write(
            f'GET /lookup/1 HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
            f'Api-Key: {kit.KEY}\r\n{kit.ATTEMPT}: '.encode()
            + b'\xff\xfe\r\n\r\n'
        )
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert b' 500 ' not in head.splitlines()[0]


async def test_request_that_cannot_be_relayed_has_not_run():
    """Guards against an unknown outcome of what was never sent to a peer."""
    request = kit.make_request(X_Odd='\udcff')
    head = relayformat.head_of(request, 'h0', 1_000)
    entry = fleetrecords.HostEntry('h1', 'z', '127.0.0.1:1', '127.0.0.1:1', 1)
    relay = peerrelay.PeerRelay(None, 'h0')
    with pytest.raises(peerrelay.PeerRefused):
        await relay.send(entry, head, b'')
