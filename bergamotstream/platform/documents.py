"""
Documents
~~~~~~~~~

Decodes the platform's documents into the project's records. The store has
validated a configuration; entries of targets may come from another writer, so
each of their fields is checked.
"""

import json
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import protocol

MS_PER_S: Final = 1_000
MAX_PORT: Final = 65_535
DEFAULT_WEIGHT: Final = 1
DEFAULT_PRIORITY: Final = 1
DEFAULT_ATTEMPTS: Final = 1
# Defaults of a configuration without limits, from the platform's examples.
DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_BODY_BYTES: Final = 4_194_304
# Defaults of an engine that states no usual lengths.
DEFAULT_PROMPT_TOKENS: Final = 8_192
DEFAULT_ANSWER_TOKENS: Final = 1_024
_FINGERPRINT: Final = re.compile('[0-9a-f]{16}')


class Undecodable(ValueError):
    """A document that is malformed or has an invalid field."""


def decode_configuration(document: bytes) -> fleetrecords.Configuration:
    """Decode ``op/config``; raises :class:`Undecodable`."""
    try:
        return _configuration(json.loads(document))
    except (KeyError, TypeError, ValueError) as fault:
        raise Undecodable(f'configuration: {fault!r}') from fault


def _configuration(body: Mapping[str, Any]) -> fleetrecords.Configuration:
    routes = [_route(entry) for entry in body['routes']]
    limits = body.get('limits') or {}
    return fleetrecords.Configuration(
        version=int(body['version']),
        routes_by_match={route.match: route for route in routes},
        services_by_name={
            entry['name']: _service(entry) for entry in body['services']
        },
        workspaces_by_key=_workspaces(body.get('tenants') or ()),
        requires_key=bool(body.get('tenants')),
        limits=fleetrecords.CallerLimits(
            int(limits.get('max_header_bytes', DEFAULT_HEADER_BYTES)),
            int(limits.get('max_body_bytes', DEFAULT_BODY_BYTES)),
        ),
    )


def _route(entry: Mapping[str, Any]) -> fleetrecords.Route:
    kind = entry['kind']
    return fleetrecords.Route(
        name=entry['name'],
        match=fleetrecords.RouteMatch(entry['host'].lower(), entry['prefix']),
        streaming=kind == protocol.KIND_STREAMING,
        retry_policy=_retry_policy(kind, bool(entry.get('resumable'))),
        timeout_ms=int(entry['timeout_ms']),
        goal_ms=int(entry.get('goal_ms') or entry['timeout_ms']),
        priority=int(entry.get('priority', DEFAULT_PRIORITY)),
        shares=_shares(entry),
        max_targets=max(int(entry.get('attempts', DEFAULT_ATTEMPTS)), 1),
        public=bool(entry.get('public')),
        pause_goal_ms=int(entry.get('gap_target_ms') or 0),
    )


def _retry_policy(kind: str, resumable: bool) -> fleetrecords.RetryPolicy:
    if kind == protocol.KIND_IDEMPOTENT:
        return fleetrecords.RetryPolicy.ANY_TIME
    if kind == protocol.KIND_STREAMING and resumable:
        return fleetrecords.RetryPolicy.RESUME
    return fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN


def _shares(entry: Mapping[str, Any]) -> tuple[fleetrecords.Share, ...]:
    split = entry.get('traffic_split')
    if not split:
        return (fleetrecords.Share(entry['service'], DEFAULT_WEIGHT),)
    return tuple(
        fleetrecords.Share(share['service'], int(share['weight']))
        for share in split
        if int(share['weight']) > 0
    )


def _service(entry: Mapping[str, Any]) -> fleetrecords.Service:
    engine = entry.get('engine')
    return fleetrecords.Service(
        name=entry['name'],
        cold_requests_per_s=float(entry.get('cold_per_s', 0)),
        engine=_engine(engine) if engine else None,
        health_path=str(entry.get('health_path') or '/'),
    )


def _engine(entry: Mapping[str, Any]) -> fleetrecords.EngineProfile:
    usual = entry.get('usual') or {}
    return fleetrecords.EngineProfile(
        slots=int(entry['slots']),
        memory_tokens=int(entry['kv_tokens']),
        steps_in_pass=max(int(entry.get('stride', 1)), 1),
        step_ms=float(entry['step_ms']),
        step_ms_per_request=float(entry['per_seq_ms']),
        step_ms_per_thousand_context=float(entry['context_per_k']),
        prefill_tokens_per_ms=float(entry['read_per_s']) / MS_PER_S,
        prefill_ms_per_million_pairs=float(entry['pairs_per_m']),
        chunk_tokens=int(entry['chunk']),
        usual_prompt_tokens=int(usual.get('prompt') or DEFAULT_PROMPT_TOKENS),
        usual_answer_tokens=int(usual.get('answer') or DEFAULT_ANSWER_TOKENS),
    )


def _workspaces(
    entries: Iterable[Mapping[str, Any]],
) -> dict[str, fleetrecords.Workspace]:
    workspaces_by_key = {}
    for entry in entries:
        priority = entry.get('priority')
        workspace = fleetrecords.Workspace(
            entry['name'], None if priority is None else int(priority)
        )
        for key in entry.get('api_keys') or ():
            workspaces_by_key[key] = workspace
    return workspaces_by_key


def decode_target_entry(
    target_id: str, document: bytes
) -> fleetrecords.TargetEntry:
    """Decode the entry of a target; raises :class:`Undecodable`."""
    body = _json_object(document)
    state = _field(body, 'state', _is_text)
    if state not in {protocol.STATE_READY, protocol.STATE_DRAINING}:
        raise Undecodable(f'state {state!r}')
    return fleetrecords.TargetEntry(
        target_id=target_id,
        service=_field(body, 'service', _is_text),
        address=_field(body, 'address', _is_address),
        zone=_field(body, 'zone', _is_text),
        slots=_field(body, 'slots', _is_positive),
        leaving=state == protocol.STATE_DRAINING,
        cold_ms=_field(body, 'cold_left_ms', _is_count, 0),
        started_ms=_field(body, 'born', _is_count, 0),
    )


def _json_object(document: bytes) -> Mapping[str, Any]:
    try:
        body = json.loads(document)
    except ValueError as fault:
        raise Undecodable(f'entry: {fault}') from fault
    if not isinstance(body, dict):
        raise Undecodable('entry is not an object')
    return body


def _field(
    body: Mapping[str, Any],
    name: str,
    check: Callable[[Any], bool],
    default: Any = None,
) -> Any:
    value = body.get(name, default)
    if not check(value):
        raise Undecodable(f'{name}: {value!r}')
    return value


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_count(value: Any) -> bool:
    return type(value) is int and value >= 0  # noqa: WPS516 - bool is no count


def _is_positive(value: Any) -> bool:
    return _is_count(value) and value > 0


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    ip, _, port = value.rpartition(':')
    parts = ip.split('.')
    if len(parts) != 4 or not all(_is_octet(part) for part in parts):
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def _is_octet(text: str) -> bool:
    return text.isascii() and text.isdecimal() and int(text) <= 255


def decode_host_entry(name: str, document: bytes) -> fleetrecords.HostEntry:
    """Decode the registration of a host; raises :class:`Undecodable`."""
    body = _json_object(document)
    return fleetrecords.HostEntry(
        name=name,
        zone=_field(body, 'zone', _is_text),
        caller_address=_field(body, 'caller_address', _is_address),
        peer_address=_field(body, 'peer_address', _is_address),
        incarnation=_field(body, 'incarnation', _is_count),
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
        raise Undecodable(f'blamed request: {rest!r}')
    return int(rest, base=16)
