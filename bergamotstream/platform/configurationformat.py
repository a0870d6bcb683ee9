"""
Configuration format
~~~~~~~~~~~~~~~~~~~~

Builds the operators' configuration from the document of the store. A field
that cannot be used does not cost the document: a number above its range counts
as the highest; one that is below it, or that is no number, gets the default. A
route, service or workspace that cannot be found without such a field is left
out.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeVar

from bergamotstream import outsidedata
from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import oddfields, protocol

MS_PER_S: Final = 1_000
DEFAULT_WEIGHT: Final = 1
DEFAULT_PRIORITY: Final = 1
DEFAULT_ATTEMPTS: Final = 1
# Of a route whose time-out cannot be used; callers name deadlines as well.
DEFAULT_TIMEOUT_MS: Final = 30_000
# In log lines and metrics.
UNNAMED_ROUTE: Final = 'unnamed'
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
Found = TypeVar('Found')


class ReadConfiguration(NamedTuple):
    """A configuration, and the fields of its document that were refused."""

    configuration: fleetrecords.Configuration
    faults: oddfields.Faults
    # Entries that no request can match.
    unmatched: tuple[oddfields.Fault, ...] = ()


def build(body: Mapping[str, Any], version: int) -> ReadConfiguration:
    """Return the configuration; ``version`` is that of the document.

    Raises ``KeyError`` or ``Malformed`` without a list of routes and one of
    services.
    """
    for name in ('routes', 'services'):
        outsidedata.listed(body[name])
    faults = oddfields.Faults()
    fields = oddfields.Fields(body, '', faults)
    routes = [_route(entry) for entry in fields.entries('routes')]
    services = [_service(entry) for entry in fields.entries('services')]
    workspaces = _Workspaces(fields)
    configuration = fleetrecords.Configuration(
        version=version,
        routes_by_match={route.match: route for route in routes if route},
        services_by_name={
            service.name: service for service in services if service
        },
        workspaces_by_key=workspaces.by_key,
        requires_key=fields.has('tenants'),
        limits=_limits(fields.inner('limits')),
        lacks_routes=None in routes,
        lacks_keys=workspaces.lacks_keys,
    )
    unmatched = [
        *_replaced('routes', [route and route.match for route in routes]),
        *_replaced(
            'services', [service and service.name for service in services]
        ),
        *workspaces.unmatched,
    ]
    return ReadConfiguration(configuration, faults, tuple(unmatched))


def _replaced(name: str, matches: Sequence[Any]) -> Iterator[oddfields.Fault]:
    """Yield the entries for which a later one stands."""
    last_by_match = {match: number for number, match in enumerate(matches)}
    for number, match in enumerate(matches):
        last = last_by_match[match]
        if match is not None and last != number:
            yield oddfields.Fault(
                f'{name}[{number}]', f'{name}[{last}] replaces it'
            )


def _limits(fields: oddfields.Fields | None) -> fleetrecords.CallerLimits:
    if fields is None:
        return fleetrecords.CallerLimits(
            DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES
        )
    header_bytes = fields.whole('max_header_bytes', 0, MAX_COUNT)
    body_bytes = fields.whole('max_body_bytes', 0, MAX_COUNT)
    return fleetrecords.CallerLimits(
        DEFAULT_HEADER_BYTES if header_bytes is None else header_bytes,
        DEFAULT_BODY_BYTES if body_bytes is None else body_bytes,
    )


def _route(fields: oddfields.Fields | None) -> fleetrecords.Route | None:
    """Return a route, ``None`` without a host name and a prefix.

    One whose service cannot be read has no shares, so that its requests do
    not go to the service of a shorter prefix.
    """
    if fields is None:
        return None
    host_name, prefix = fields.any_text('host'), fields.any_text('prefix')
    if host_name is None or prefix is None:
        return None
    kind = fields.any_text('kind') or ''
    timeout_ms = (
        fields.duration_ms('timeout_ms', 1, MAX_DURATION_MS)
        or DEFAULT_TIMEOUT_MS
    )
    priority = fields.whole('priority', -MAX_COUNT, MAX_COUNT)
    return fleetrecords.Route(
        name=fields.text('name') or UNNAMED_ROUTE,
        match=fleetrecords.RouteMatch(host_name.lower(), prefix),
        streaming=kind == protocol.KIND_STREAMING,
        retry_policy=_retry_policy(kind, fields.flag('resumable')),
        timeout_ms=timeout_ms,
        goal_ms=fields.duration_ms('goal_ms', 0, MAX_DURATION_MS) or timeout_ms,
        priority=DEFAULT_PRIORITY if priority is None else priority,
        shares=_shares(fields),
        max_targets=fields.whole('attempts', 0, MAX_COUNT) or DEFAULT_ATTEMPTS,
        public=fields.flag('public'),
        pause_goal_ms=fields.duration_ms('gap_target_ms', 0, MAX_DURATION_MS)
        or 0,
    )


def _retry_policy(kind: str, resumable: bool) -> fleetrecords.RetryPolicy:
    if kind == protocol.KIND_IDEMPOTENT:
        return fleetrecords.RetryPolicy.ANY_TIME
    if kind == protocol.KIND_STREAMING and resumable:
        return fleetrecords.RetryPolicy.RESUME
    return fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN


def _shares(fields: oddfields.Fields) -> tuple[fleetrecords.Share, ...]:
    """Return the shares; without any weight, the route's own service."""
    shares = [_share(entry) for entry in fields.entries('traffic_split')]
    weighted = tuple(share for share in shares if share and share.weight)
    if weighted:
        return weighted
    service = fields.text('service')
    return (fleetrecords.Share(service, DEFAULT_WEIGHT),) if service else ()


def _share(fields: oddfields.Fields | None) -> fleetrecords.Share | None:
    if fields is None:
        return None
    service = fields.text('service')
    weight: float | None = DEFAULT_WEIGHT
    if fields.has('weight'):
        weight = fields.number('weight', 0, MAX_COUNT)
    if service is None or weight is None:
        return None
    return fleetrecords.Share(service, weight)


def _service(fields: oddfields.Fields | None) -> fleetrecords.Service | None:
    """Return a service, ``None`` without a name."""
    if fields is None:
        return None
    name = fields.text('name')
    if name is None:
        return None
    return fleetrecords.Service(
        name=name,
        cold_requests_per_s=fields.number('cold_per_s', 0, MAX_RATE) or 0,
        engine=_engine(fields),
        health_path=fields.optional_text('health_path', '/'),
    )


def _engine(service: oddfields.Fields) -> fleetrecords.EngineProfile | None:
    """Return the profile; without all numbers of it, none is used."""
    fields = service.inner('engine') if service.has('engine') else None
    if fields is None:
        return None
    try:
        return _engine_profile(fields)
    except outsidedata.Malformed as fault:
        service.add_fault('engine', str(fault))
        return None


def _engine_profile(fields: oddfields.Fields) -> fleetrecords.EngineProfile:
    usual = fields.inner('usual') or fields.empty('usual')
    read_per_s = _present(fields.number('read_per_s', MIN_READ_PER_S, MAX_RATE))
    return fleetrecords.EngineProfile(
        slots=_present(fields.whole('slots', 1, MAX_SLOTS)),
        memory_tokens=_present(fields.whole('kv_tokens', 0, MAX_TOKENS)),
        steps_in_pass=fields.whole('stride', 0, MAX_COUNT) or 1,
        step_ms=_rate(fields, 'step_ms'),
        step_ms_per_request=_rate(fields, 'per_seq_ms'),
        step_ms_per_thousand_context=_rate(fields, 'context_per_k'),
        prefill_tokens_per_ms=read_per_s / MS_PER_S,
        prefill_ms_per_million_pairs=_rate(fields, 'pairs_per_m'),
        chunk_tokens=_present(fields.whole('chunk', 0, MAX_TOKENS)),
        usual_prompt_tokens=usual.whole('prompt', 0, MAX_TOKENS)
        or DEFAULT_PROMPT_TOKENS,
        usual_answer_tokens=usual.whole('answer', 0, MAX_TOKENS)
        or DEFAULT_ANSWER_TOKENS,
    )


def _rate(fields: oddfields.Fields, name: str) -> float:
    return float(_present(fields.number(name, 0, MAX_RATE)))


def _present(found: Found | None) -> Found:
    if found is None:
        raise outsidedata.Malformed('a number is missing or cannot be used')
    return found


class _Workspaces:
    """The workspaces of a configuration by their keys."""

    def __init__(self, configuration: oddfields.Fields) -> None:
        self.by_key: dict[str, fleetrecords.Workspace] = {}
        self.lacks_keys = False
        self.unmatched: list[oddfields.Fault] = []
        for number, entry in enumerate(configuration.entries('tenants')):
            self._add(entry, f'tenants[{number}]')

    def _add(self, fields: oddfields.Fields | None, place: str) -> None:
        name = None if fields is None else fields.text('name')
        if fields is None or name is None:
            self.lacks_keys = True
            return
        workspace = fleetrecords.Workspace(
            name, fields.whole('priority', -MAX_COUNT, MAX_COUNT)
        )
        keys = list(fields.texts('api_keys'))
        if not keys:
            self._add_unmatched(place, 'no API key')
        for key in keys:
            if key is None:
                self.lacks_keys = True
                continue
            former = self.by_key.get(key, workspace)
            if former != workspace:
                self._add_unmatched(place, f'a key of {former.name}')
            self.by_key[key] = workspace

    def _add_unmatched(self, place: str, reason: str) -> None:
        self.unmatched.append(oddfields.Fault(place, reason))
