"""
Settings check
~~~~~~~~~~~~~~

Checks the types, keys, plug-in names, addresses and ownership timing of a
settings file. All faults are reported together.
"""

import pathlib
import tomllib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from bergamotstream import errors, keyvalues, plugins, policies, settings

ADDRESS_FIELDS = ('caller_address', 'peer_address')
MAX_PORT = 65_535
# The rates of two clocks are assumed to differ by at most 1%.
CLOCK_DRIFT = 1.01


def load_checked(path: str) -> settings.Settings:
    """Read a settings file that a daemon can start with.

    Raises :class:`errors.InvalidSettings` that names every fault.
    """
    faults = []
    try:
        config = settings.load_settings(path)
    except errors.InvalidSettings as fault:
        faults.append(fault.detail)
    faults.extend(f'{path}: {fault}' for fault in _semantic_faults(path))
    if faults:
        raise errors.InvalidSettings('\n'.join(faults))
    return config


def _semantic_faults(path: str) -> Iterator[str]:
    """Yield faults beyond types, also in a file that has type faults."""
    try:
        tables = tomllib.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError):
        # Already reported by ``settings.load_settings``.
        return
    for field in ADDRESS_FIELDS:
        if field in tables and not _is_address(tables[field]):
            yield f'{field}: must be <IP>:<port from 1 to {MAX_PORT}>'
    yield from _ownership_faults(tables.get('timing', {}))
    platform = tables.get('platform')
    if isinstance(platform, Mapping):
        yield from _plugin_faults(
            'platform.kv_client', platform.get('kv_client'), _find_client
        )
    yield from _plugin_faults(
        'policy', tables.get('policy'), policies.get_policy_by_name
    )


def _ownership_faults(timing: Any) -> Iterator[str]:
    """Yield a fault of timing by which two hosts could own a partition."""
    if not isinstance(timing, Mapping):
        return
    defaults = settings.Timing()
    valid_ms = timing.get('owner_valid_ms', defaults.owner_valid_ms)
    takeover_ms = timing.get('takeover_ms', defaults.takeover_ms)
    if not isinstance(valid_ms, int) or not isinstance(takeover_ms, int):
        return
    if valid_ms * CLOCK_DRIFT >= takeover_ms:
        yield (
            'timing.takeover_ms: must be more than owner_valid_ms'
            + f' x {CLOCK_DRIFT}'
        )


def _plugin_faults(
    field: str, name: Any, look_up: Callable[[str], Any]
) -> Iterator[str]:
    if not isinstance(name, str):
        return
    try:
        look_up(name)
    except (KeyError, errors.InvalidSettings):
        yield f'{field}: there is no plug-in {name!r}'


def _find_client(name: str) -> type[keyvalues.KeyValueClient]:
    plugins.import_plugins('bergamotstream.keyvalues')
    return keyvalues.get_client_by_name(name)


def _is_address(address: Any) -> bool:
    host, _, port = str(address).rpartition(':')
    return bool(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT
