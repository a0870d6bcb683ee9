"""
Configuration check
~~~~~~~~~~~~~~~~~~~

Finds in a configuration what a host accepts and operators hardly mean: entries
that no request can match, and limits that contradict each other. Compares it
with the version in force. Checks register themselves by the code of what they
find.
"""

import collections
import functools
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple

from bergamotstream.forwarding import (
    enginetiming,
    fleetrecords,
    placement,
)

SLASH: Final = '/'
_MISSING: Final = ''


class Finding(NamedTuple):
    """Something that the operators should look at."""

    code: str
    # Such as ``routes[3].timeout_ms``, or the name of an entry.
    place: str
    detail: str
    remedy: str


class Difference(NamedTuple):
    """A field of an entry that two versions have differently.

    An entry that only one of them has is the field ``entry``.
    """

    entry: str
    field: str
    before: str
    after: str


class Place(NamedTuple):
    """Where a check found something, and what."""

    name: str
    detail: str


Check = Callable[[fleetrecords.Configuration], Iterator[Place]]


class _Registered(NamedTuple):
    remedy: str
    find: Check


_checks_by_code: dict[str, _Registered] = {}


def register(code: str, remedy: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check."""
    return functools.partial(_add, code, remedy)


def _add(code: str, remedy: str, find: Check) -> Check:
    _checks_by_code[code] = _Registered(remedy, find)
    return find


def check(configuration: fleetrecords.Configuration) -> list[Finding]:
    """Return what all checks find."""
    return [
        Finding(code, place.name, place.detail, registered.remedy)
        for code, registered in _checks_by_code.items()
        for place in registered.find(configuration)
    ]


@register('unknown_service', 'add the service, or name another one')
def find_unknown_services(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find routes to services that the configuration does not have."""
    for route in configuration.routes_by_match.values():
        for share in route.shares:
            if share.service not in configuration.services_by_name:
                yield Place(_label(route), f'service {share.service}')


@register('no_service', 'name a service; requests of the route get 503')
def find_routes_without_service(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find routes without a service that can be read."""
    for route in configuration.routes_by_match.values():
        if not route.shares:
            yield Place(_label(route), 'no service')


@register('unmatched_prefix', 'begin and end the prefix with a slash')
def find_unmatched_prefixes(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find prefixes that no path can begin with."""
    for route in configuration.routes_by_match.values():
        prefix = route.match.prefix
        if not (prefix.startswith(SLASH) and prefix.endswith(SLASH)):
            yield Place(_label(route), f'prefix {prefix}')


@register('unused_service', 'add a route to the service, or remove it')
def find_unused_services(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find services that no route names."""
    used = {
        share.service
        for route in configuration.routes_by_match.values()
        for share in route.shares
    }
    for name in configuration.services_by_name:
        if name not in used:
            yield Place(f'service {name}', 'no route')


@register('goal_over_timeout', 'lower the goal, or raise the time-out')
def find_goals_over_timeouts(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find goals that a request may miss only after its time-out."""
    for route in configuration.routes_by_match.values():
        for name in ('goal_ms', 'pause_goal_ms'):
            goal_ms = getattr(route, name)
            if goal_ms > route.timeout_ms:
                yield Place(
                    _label(route), f'{name}={goal_ms} {_timeout(route)}'
                )


@register('unused_pause_goal', 'remove it, or make the route a streaming one')
def find_unused_pause_goals(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find goals for gaps between events on routes without events."""
    for route in configuration.routes_by_match.values():
        if route.pause_goal_ms and not route.streaming:
            yield Place(_label(route), f'pause_goal_ms={route.pause_goal_ms}')


@register('unreachable_goal', 'raise the goal, or correct the engine')
def find_unreachable_goals(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find goals that idle engines miss with their usual prompt.

    The prompt is read by as many engines as one request may have.
    """
    for route, service, engine in _routes_to_engines(configuration):
        prefill_ms = enginetiming.prefill_ms(engine, engine.usual_prompt_tokens)
        least_ms = prefill_ms / placement.PART_COUNTS[-1]
        if least_ms > route.goal_ms:
            yield Place(
                _label(route),
                f'goal_ms={route.goal_ms} service={service}'
                f' least_ms={least_ms:.0f}',
            )


@register('engine_too_small', 'correct the memory or the usual lengths')
def find_small_engines(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find engines that cannot hold their own usual request."""
    for service in configuration.services_by_name.values():
        engine = service.engine
        if engine is None:
            continue
        usual_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens
        if usual_tokens > engine.memory_tokens:
            yield Place(
                f'service {service.name}',
                f'memory_tokens={engine.memory_tokens} usual={usual_tokens}',
            )


@register('key_over_header_limit', 'raise max_header_bytes')
def find_keys_over_limits(
    configuration: fleetrecords.Configuration,
) -> Iterator[Place]:
    """Find API keys that no request within the limits can carry."""
    allowed = configuration.limits.max_header_bytes
    for key, workspace in configuration.workspaces_by_key.items():
        if len(key) > allowed:
            yield Place(
                f'workspace {workspace.name}',
                f'key_bytes={len(key)} max_header_bytes={allowed}',
            )


def compare(
    before: fleetrecords.Configuration, after: fleetrecords.Configuration
) -> list[Difference]:
    """Return what differs, without the text of any key."""
    differences: list[Difference] = []
    known, new = _entries(before), _entries(after)
    for entry in sorted(known.keys() | new.keys()):
        differences.extend(
            _compare_entry(entry, known.get(entry), new.get(entry))
        )
    return differences


def _compare_entry(
    entry: str,
    before: Mapping[str, Any] | None,
    after: Mapping[str, Any] | None,
) -> Iterator[Difference]:
    if before is None:
        yield Difference(entry, 'entry', _MISSING, 'added')
    elif after is None:
        yield Difference(entry, 'entry', 'removed', _MISSING)
    else:
        for field in sorted(before.keys() | after.keys()):
            known, new = before.get(field), after.get(field)
            if known != new:
                yield Difference(entry, field, *_shown(known, new))


def _shown(before: Any, after: Any) -> tuple[str, str]:
    if isinstance(before, frozenset) or isinstance(after, frozenset):
        before, after = before or frozenset(), after or frozenset()
        added, removed = len(after - before), len(before - after)
        return str(len(before)), f'{len(after)}, {added} new, {removed} gone'
    return str(before), str(after)


def _entries(
    configuration: fleetrecords.Configuration,
) -> dict[str, dict[str, Any]]:
    """Return the fields of all entries by the label of the entry."""
    entries = {
        _label(route): route._asdict()
        for route in configuration.routes_by_match.values()
    }
    for service in configuration.services_by_name.values():
        entries[f'service {service.name}'] = service._asdict()
    keys_by_workspace = collections.defaultdict(set)
    for key, workspace in configuration.workspaces_by_key.items():
        keys_by_workspace[workspace].add(key)
    for workspace, keys in keys_by_workspace.items():
        # Several workspaces may have the same name.
        fields = entries.setdefault(f'workspace {workspace.name}', {})
        fields[f'keys of priority {workspace.priority}'] = frozenset(keys)
    entries['limits'] = {
        **configuration.limits._asdict(),
        'requires_key': configuration.requires_key,
    }
    return entries


def _routes_to_engines(
    configuration: fleetrecords.Configuration,
) -> Iterator[tuple[fleetrecords.Route, str, fleetrecords.EngineProfile]]:
    for route in configuration.routes_by_match.values():
        for share in route.shares:
            service = configuration.services_by_name.get(share.service)
            if service is not None and service.engine is not None:
                yield route, service.name, service.engine


def _label(route: fleetrecords.Route) -> str:
    return f'route {route.match.host_name}{route.match.prefix}'


def _timeout(route: fleetrecords.Route) -> str:
    return f'timeout_ms={route.timeout_ms}'
