"""
Documents
~~~~~~~~~

Decodes the platform's documents into the project's records. The store has
validated a configuration; entries of targets may come from another writer, so
each of their fields is checked.
"""

import contextlib
import json
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, TypeVar

from bergamotstream import outsidedata
from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import protocol

MS_PER_S: Final = 1_000
DEFAULT_WEIGHT: Final = 1
DEFAULT_PRIORITY: Final = 1
DEFAULT_ATTEMPTS: Final = 1
# Defaults of a configuration without limits, from the platform's examples.
DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_BODY_BYTES: Final = 4_194_304
# Defaults of an engine that states no usual lengths.
DEFAULT_PROMPT_TOKENS: Final = 8_192
DEFAULT_ANSWER_TOKENS: Final = 1_024


# Ranges of the fields. All sums of them fit into the messages to peers.
MAX_DURATION_MS: Final = 86_400_000
MAX_COUNT: Final = 1_000_000_000
MAX_TOKENS: Final = (1 << 31) - 1
MAX_SLOTS: Final = 65_535
MAX_RATE: Final = 1e12
MIN_READ_PER_S: Final = 0.001
# Version and start of a target, which others may count in JavaScript.
MAX_VERSION: Final = 1 << 53
MAX_STARTED_MS: Final = 1 << 53
# A key of the store has 200 bytes at most.
MAX_NAME: Final = 200
Checked = TypeVar('Checked')
_FINGERPRINT: Final = re.compile('[0-9a-f]{16}')


class Undecodable(ValueError):
    """A document that is malformed or has an invalid field."""


@contextlib.contextmanager
def _decoding(subject: str) -> Iterator[None]:
    """Raise ``Undecodable`` for what is missing, malformed or out of range."""
    try:
        yield
    except (KeyError, outsidedata.Malformed) as fault:
        raise Undecodable(f'{subject}: {fault}') from fault


def decode_configuration(document: bytes) -> fleetrecords.Configuration:
    """Decode ``op/config``; raises :class:`Undecodable`."""
    with _decoding('configuration'):
        return _configuration(
            outsidedata.mapping(outsidedata.decode_json(document))
        )


def _configuration(body: Mapping[str, Any]) -> fleetrecords.Configuration:
    routes = [_route(entry) for entry in _mappings(body['routes'])]
    services = [_service(entry) for entry in _mappings(body['services'])]
    limits = outsidedata.mapping(body.get('limits') or {})
    return fleetrecords.Configuration(
        version=_whole(body['version'], highest=MAX_VERSION),
        routes_by_match={route.match: route for route in routes},
        services_by_name={service.name: service for service in services},
        workspaces_by_key=_workspaces(_mappings(body.get('tenants') or [])),
        requires_key=bool(body.get('tenants')),
        limits=fleetrecords.CallerLimits(
            _whole(limits.get('max_header_bytes', DEFAULT_HEADER_BYTES)),
            _whole(limits.get('max_body_bytes', DEFAULT_BODY_BYTES)),
        ),
    )


def _mappings(found: Any) -> list[dict[str, Any]]:
    return [outsidedata.mapping(entry) for entry in outsidedata.listed(found)]


def _whole(found: Any, lowest: int = 0, highest: int = MAX_COUNT) -> int:
    """Return a whole number, which may be written as ``5.0``."""
    if isinstance(found, float) and found.is_integer():
        found = int(found)
    return outsidedata.whole(found, lowest, highest)


def _duration_ms(found: Any) -> int:
    return _whole(found, highest=MAX_DURATION_MS)


def _route(entry: Mapping[str, Any]) -> fleetrecords.Route:
    kind = outsidedata.text(entry['kind'])
    timeout_ms = _duration_ms(entry['timeout_ms'])
    return fleetrecords.Route(
        name=outsidedata.text(entry['name']),
        match=fleetrecords.RouteMatch(
            outsidedata.text(entry['host']).lower(),
            outsidedata.text(entry['prefix']),
        ),
        streaming=kind == protocol.KIND_STREAMING,
        retry_policy=_retry_policy(kind, bool(entry.get('resumable'))),
        timeout_ms=timeout_ms,
        goal_ms=_duration_ms(entry.get('goal_ms') or timeout_ms),
        priority=_whole(entry.get('priority', DEFAULT_PRIORITY), -MAX_COUNT),
        shares=_shares(entry),
        max_targets=max(_whole(entry.get('attempts', DEFAULT_ATTEMPTS)), 1),
        public=bool(entry.get('public')),
        pause_goal_ms=_duration_ms(entry.get('gap_target_ms') or 0),
    )


def _retry_policy(kind: str, resumable: bool) -> fleetrecords.RetryPolicy:
    if kind == protocol.KIND_IDEMPOTENT:
        return fleetrecords.RetryPolicy.ANY_TIME
    if kind == protocol.KIND_STREAMING and resumable:
        return fleetrecords.RetryPolicy.RESUME
    return fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN


def _shares(entry: Mapping[str, Any]) -> tuple[fleetrecords.Share, ...]:
    """Return the shares; without any weight, the route's own service."""
    shares = [
        fleetrecords.Share(
            outsidedata.text(share['service']), _whole(share['weight'])
        )
        for share in _mappings(entry.get('traffic_split') or [])
    ]
    weighted = tuple(share for share in shares if share.weight)
    if weighted:
        return weighted
    service = outsidedata.text(entry['service'])
    return (fleetrecords.Share(service, DEFAULT_WEIGHT),)


def _service(entry: Mapping[str, Any]) -> fleetrecords.Service:
    engine = entry.get('engine')
    return fleetrecords.Service(
        name=outsidedata.text(entry['name']),
        cold_requests_per_s=_rate(entry.get('cold_per_s') or 0),
        engine=_engine(outsidedata.mapping(engine)) if engine else None,
        health_path=outsidedata.text(entry.get('health_path') or '/'),
    )


def _rate(found: Any, lowest: float = 0) -> float:
    return outsidedata.number(found, lowest, MAX_RATE)


def _engine(entry: Mapping[str, Any]) -> fleetrecords.EngineProfile:
    usual = outsidedata.mapping(entry.get('usual') or {})
    return fleetrecords.EngineProfile(
        slots=_whole(entry['slots'], 1, MAX_SLOTS),
        memory_tokens=_whole(entry['kv_tokens'], 0, MAX_TOKENS),
        steps_in_pass=max(_whole(entry.get('stride', 1)), 1),
        step_ms=_rate(entry['step_ms']),
        step_ms_per_request=_rate(entry['per_seq_ms']),
        step_ms_per_thousand_context=_rate(entry['context_per_k']),
        prefill_tokens_per_ms=_rate(entry['read_per_s'], MIN_READ_PER_S)
        / MS_PER_S,
        prefill_ms_per_million_pairs=_rate(entry['pairs_per_m']),
        chunk_tokens=_whole(entry['chunk'], 0, MAX_TOKENS),
        usual_prompt_tokens=_whole(
            usual.get('prompt') or DEFAULT_PROMPT_TOKENS, 0, MAX_TOKENS
        ),
        usual_answer_tokens=_whole(
            usual.get('answer') or DEFAULT_ANSWER_TOKENS, 0, MAX_TOKENS
        ),
    )


def _workspaces(
    entries: Iterable[Mapping[str, Any]],
) -> dict[str, fleetrecords.Workspace]:
    workspaces_by_key = {}
    for entry in entries:
        priority = entry.get('priority')
        workspace = fleetrecords.Workspace(
            outsidedata.text(entry['name']),
            None if priority is None else _whole(priority, -MAX_COUNT),
        )
        for key in outsidedata.listed(entry.get('api_keys') or []):
            workspaces_by_key[outsidedata.text(key)] = workspace
    return workspaces_by_key


def decode_target_entry(
    target_id: str, document: bytes
) -> fleetrecords.TargetEntry:
    """Decode the entry of a target; raises :class:`Undecodable`."""
    body = _json_object(document)
    state = _field(body, 'state', outsidedata.text)
    if state not in {protocol.STATE_READY, protocol.STATE_DRAINING}:
        raise Undecodable(f'state {outsidedata.shown(state)}')
    return fleetrecords.TargetEntry(
        target_id=_checked_id(target_id),
        service=_field(body, 'service', outsidedata.text),
        address=_field(body, 'address', outsidedata.address),
        zone=_field(body, 'zone', outsidedata.text),
        slots=_field(body, 'slots', _slots),
        leaving=state == protocol.STATE_DRAINING,
        cold_ms=_field(body, 'cold_left_ms', _duration_ms, 0),
        started_ms=_field(body, 'born', _started_ms, 0),
    )


def _checked_id(target_id: str) -> str:
    """Return an id that a header can hold."""
    with _decoding('key'):
        if ' ' in outsidedata.text(target_id, MAX_NAME):
            raise outsidedata.Malformed('a space in it')
    return target_id


def _slots(found: Any) -> int:
    return outsidedata.whole(found, 1, MAX_SLOTS)


def _started_ms(found: Any) -> int:
    return outsidedata.whole(found, highest=MAX_STARTED_MS)


def _json_object(document: bytes) -> Mapping[str, Any]:
    with _decoding('entry'):
        return outsidedata.mapping(outsidedata.decode_json(document))


def _field(
    body: Mapping[str, Any],
    name: str,
    check: Callable[[Any], Checked],
    default: Any = None,
) -> Checked:
    try:
        return check(body.get(name, default))
    except outsidedata.Malformed as fault:
        raise Undecodable(f'{name}: {fault}') from fault


def decode_host_entry(name: str, document: bytes) -> fleetrecords.HostEntry:
    """Decode the registration of a host; raises :class:`Undecodable`."""
    body = _json_object(document)
    return fleetrecords.HostEntry(
        name=_checked_id(name),
        zone=_field(body, 'zone', outsidedata.text),
        caller_address=_field(body, 'caller_address', outsidedata.address),
        peer_address=_field(body, 'peer_address', outsidedata.address),
        incarnation=_field(body, 'incarnation', outsidedata.whole),
    )


def encode_host_entry(entry: fleetrecords.HostEntry) -> bytes:
    """Return the document of a host's registration."""
    body = {
        'zone': entry.zone,
        'caller_address': entry.caller_address,
        'peer_address': entry.peer_address,
        'incarnation': entry.incarnation,
    }
    return json.dumps(body).encode()


def blamed_key(fingerprint: int) -> str:
    """Return the key of the record of a blamed request."""
    return f'{protocol.BLAMED_PREFIX}{fingerprint:016x}'


def decode_blamed_key(rest: str) -> int:
    """Return the fingerprint of a blamed request.

    ``rest`` is its key without the prefix; raises :class:`Undecodable`.
    """
    if _FINGERPRINT.fullmatch(rest) is None:
        raise Undecodable(f'blamed request: {outsidedata.shown(rest)}')
    return int(rest, base=16)
