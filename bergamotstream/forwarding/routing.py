"""
Routing
~~~~~~~

Finds the route, the workspace and the service of a request.
"""

import random
from collections.abc import Sequence
from typing import Final

import xxhash

from bergamotstream import errors
from bergamotstream.forwarding import fleetrecords

# Digits of a key's digest in a log.
KEY_DIGITS: Final = 8
# What a line shows of long names, and of requests with many keys.
MAX_SHOWN: Final = 200
MAX_SHOWN_KEYS: Final = 3
# For requests of routes and keys that a configuration has but that this host
# cannot read; the operators have to write it again.
UNREADABLE_RETRY_MS: Final = 1_000


def find_route(
    configuration: fleetrecords.Configuration, host_name: str, path: str
) -> fleetrecords.Route:
    """Return the route with the longest prefix of ``path``.

    Raises :class:`errors.UnknownRoute`, or ``ConfigurationOutdated`` if the
    route may be one that could not be read.
    """
    end = path.rfind('/')
    while end >= 0:
        match = fleetrecords.RouteMatch(host_name, path[: end + 1])
        route = configuration.routes_by_match.get(match)
        if route is not None:
            if route.shares:
                return route
            raise _unreadable(f'route={route.name[:MAX_SHOWN]} service')
        end = path.rfind('/', 0, end)
    if configuration.lacks_routes:
        raise _unreadable('routes')
    raise errors.UnknownRoute(
        f'host={host_name[:MAX_SHOWN]} path={path[:MAX_SHOWN]} '
        f'known={len(configuration.routes_by_match)}'
    )


def _unreadable(what: str) -> errors.ServiceError:
    return errors.ConfigurationOutdated(
        f'unreadable {what}', retry_after_ms=UNREADABLE_RETRY_MS
    )


def find_workspace(
    configuration: fleetrecords.Configuration,
    route: fleetrecords.Route,
    keys: Sequence[str],
) -> fleetrecords.Workspace | None:
    """Return the workspace of the key, ``None`` where no key is required.

    Raises :class:`errors.UnknownKey`, also when several keys are given, or
    ``ConfigurationOutdated`` if the key may be one that could not be read.
    """
    if not configuration.requires_key:
        return None
    if len(keys) == 1 and keys[0] in configuration.workspaces_by_key:
        return configuration.workspaces_by_key[keys[0]]
    if route.public:
        return None
    if configuration.lacks_keys and len(keys) == 1:
        raise _unreadable('keys')
    raise errors.UnknownKey(
        f'route={route.name[:MAX_SHOWN]} given={len(keys)} '
        f'keys={",".join(map(_shown_key, keys[:MAX_SHOWN_KEYS]))} '
        f'known={len(configuration.workspaces_by_key)}'
    )


def _shown_key(key: str) -> str:
    """Return what tells keys apart in a log without naming them."""
    encoded = key.encode(errors='backslashreplace')
    return xxhash.xxh3_64_hexdigest(encoded)[:KEY_DIGITS]


def choose_service(route: fleetrecords.Route, rng: random.Random) -> str:
    """Return a random service of the route, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def priority_of(
    route: fleetrecords.Route, workspace: fleetrecords.Workspace | None
) -> int:
    """Return the priority of a request: the workspace's, or the route's."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
