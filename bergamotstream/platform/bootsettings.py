"""
Boot settings
~~~~~~~~~~~~~

Reads the settings file that the platform provides to each process and checks
the fields that are used. Unknown fields are ignored.

Names and addresses are required. A limit of the operators that is missing or
makes no sense does not keep a host from starting: it gets its default and a
fault that is logged.
"""

import os
import pathlib
import tomllib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from bergamotstream import errors, outsidedata
from bergamotstream.forwarding import hostsettings

PATH_VARIABLE = 'BERGAMOTSTREAM_BOOT'
# Switches single features, for example 'target_pacing=on,fair_waiting=off'.
FEATURES_VARIABLE: Final = 'BERGAMOTSTREAM_FEATURES'
# The part of the platform's rules under which callers and targets compete for
# too little room.
PRESSURE: Final = 'pressure'
_SWITCHES: Final[Mapping[str, bool]] = {'on': True, 'off': False}
MS_PER_S: Final = 1_000
# Longest time that is meant; a longer one is a mistake in its unit.
MAX_TIME_MS: Final = 600_000
MAX_COUNT: Final = 1_000_000
MAX_CORES: Final = 1_024


class _BoundField(NamedTuple):
    """Where a limit stands in the file, its unit and its range."""

    key: str
    lowest: float
    highest: float
    # Milliseconds for each unit of the file; 0 for figures that are no time.
    unit_ms: int = 0


_FIELDS_BY_BOUND: Final[Mapping[str, _BoundField]] = {
    'stop_grace_ms': _BoundField('grace_s', 0.5, 600, MS_PER_S),
    'retry_ratio': _BoundField('budget_ratio', 0, 10),
    'retry_window_ms': _BoundField('budget_window_s', 0.1, 600, MS_PER_S),
    'retry_slack': _BoundField('budget_slack', 0, MAX_COUNT),
    'apply_ms': _BoundField('config_apply_ms', 100, MAX_TIME_MS, 1),
    'contact_ms': _BoundField('contact_ms', 0, MAX_TIME_MS, 1),
    'memory_free_ms': _BoundField('free_ms', 1_500, MAX_TIME_MS, 1),
    'memory_lease_max_ms': _BoundField('hold_max_ms', 1_500, MAX_TIME_MS, 1),
    'address_ttl_max_ms': _BoundField('ttl_max_s', 0.1, 600, MS_PER_S),
}


class _LimitField(NamedTuple):
    """The default of a host's limit and its range."""

    default: float
    lowest: float = 1
    highest: float = MAX_COUNT


_FIELDS_BY_LIMIT: Final[Mapping[str, _LimitField]] = {
    'memory_mb': _LimitField(hostsettings.DEFAULT_MEMORY_MB),
    'max_fds': _LimitField(hostsettings.DEFAULT_MAX_FDS),
    # More than one is a mistake in its unit, such as per cent.
    'cpu_share': _LimitField(hostsettings.DEFAULT_CPU_SHARE, 0.05, 1),
    'cores': _LimitField(hostsettings.DEFAULT_CORES, 0.5, MAX_CORES),
    'link_mbps': _LimitField(hostsettings.DEFAULT_LINK_MBPS),
}


class SettingFault(NamedTuple):
    """A setting that is not used as it stands in the file."""

    field: str
    reason: str
    # What the operators can do about it.
    remedy: str


class BootSettings(NamedTuple):
    """The settings of a process and what was wrong with the file."""

    host: hostsettings.HostSettings
    faults: tuple[SettingFault, ...]


def settings_path() -> str:
    """Return the path of the settings file; raises ``InvalidSettings``."""
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.InvalidSettings(f'{PATH_VARIABLE} is not set')
    return path


def load(path: str) -> BootSettings:
    """Read and check the settings; raises ``InvalidSettings``."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return decode(tomllib.loads(text))
    except (OSError, ValueError, RecursionError) as fault:
        raise errors.InvalidSettings(f'{path}: {fault}') from fault


def decode(
    tables: Mapping[str, Any], switches: str | None = None
) -> BootSettings:
    """Return the settings; raises ``InvalidSettings`` naming the field.

    ``switches`` overrides features; by default those of the environment do.
    """
    if switches is None:
        switches = os.environ.get(FEATURES_VARIABLE, '')
    reader = _Reader(tables)
    faults: list[SettingFault] = []
    decoded = hostsettings.HostSettings(
        name=reader.text('node_name'),
        ip=reader.text('ip'),
        zone=reader.text('zone'),
        caller_address=reader.text('listen', 'front'),
        readiness_address=reader.text('listen', 'readiness'),
        directory_address=reader.text('listen', 'directory'),
        peer_ports=reader.ports('internal_ports'),
        store=_store(reader),
        bounds=_bounds(reader, faults),
        memory_mb=_limit(reader, faults, 'memory_mb'),
        features=_features(tables, switches, faults),
        max_fds=round(_limit(reader, faults, 'max_fds')),
        cpu_share=_limit(reader, faults, 'cpu_share'),
        cores=_limit(reader, faults, 'cores'),
        link_mbps=_limit(reader, faults, 'link_mbps'),
    )
    _check_addresses(decoded)
    return BootSettings(decoded, tuple(faults))


def _check_addresses(decoded: hostsettings.HostSettings) -> None:
    """Raise ``InvalidSettings`` if two servers have one address."""
    fields_by_address: dict[str, str] = {}
    for field, address in (
        ('listen.front', decoded.caller_address),
        ('listen.readiness', decoded.readiness_address),
        ('listen.directory', decoded.directory_address),
        ('internal_ports', decoded.peer_address),
    ):
        other = fields_by_address.setdefault(address, field)
        if other != field:
            raise errors.InvalidSettings(
                f'{field}: has the address {address} of {other}'
            )


def _store(reader: '_Reader') -> hostsettings.StoreSettings:
    return hostsettings.StoreSettings(
        address=reader.text('platform', 'address'),
    )


def _bounds(
    reader: '_Reader', faults: list[SettingFault]
) -> hostsettings.Bounds:
    """Return the limits; those that cannot be used become ``faults``."""
    defaults = hostsettings.Bounds()
    figures: dict[str, Any] = {}
    for name, field in _FIELDS_BY_BOUND.items():
        try:
            figures[name] = _figure(reader, field)
        except errors.InvalidSettings as fault:
            default = getattr(defaults, name)
            faults.append(
                SettingFault(
                    f'bounds.{field.key}',
                    fault.detail,
                    f'set a number from {field.lowest} to {field.highest};'
                    f' {default / (field.unit_ms or 1)} is used',
                )
            )
    return defaults._replace(**figures)


def _features(
    tables: Mapping[str, Any], switches: str, faults: list[SettingFault]
) -> hostsettings.Features:
    """Return the features; switches that make no sense are faults."""
    listed = tables.get('contracts')
    is_pressed = isinstance(listed, list) and PRESSURE in listed
    features = hostsettings.Features(
        weighted_directory=is_pressed, target_pacing=is_pressed
    )
    for switch in filter(None, switches.split(',')):
        name, _, state = switch.strip().partition('=')
        if name in features._fields and state in _SWITCHES:
            features = features._replace(**{name: _SWITCHES[state]})
        else:
            faults.append(
                SettingFault(
                    FEATURES_VARIABLE,
                    f'unknown switch {switch!r}',
                    f'use NAME=on or NAME=off of {", ".join(features._fields)}',
                )
            )
    return features


def _limit(reader: '_Reader', faults: list[SettingFault], name: str) -> float:
    """Return a limit of the host; one that cannot be used is a fault."""
    field = _FIELDS_BY_LIMIT[name]
    if not reader.has('limits', name):
        return field.default
    try:
        return reader.number(('limits', name), field.lowest, field.highest)
    except errors.InvalidSettings as fault:
        faults.append(
            SettingFault(
                f'limits.{name}',
                fault.detail,
                f'set a number from {field.lowest} to {field.highest};'
                f' {field.default} is used',
            )
        )
    return field.default


def _figure(reader: '_Reader', field: _BoundField) -> float:
    """Return a limit, a time in whole milliseconds.

    Raises ``InvalidSettings``.
    """
    figure = reader.number(('bounds', field.key), field.lowest, field.highest)
    return round(figure * field.unit_ms) if field.unit_ms else figure


def changed_fields(
    before: hostsettings.HostSettings, after: hostsettings.HostSettings
) -> Iterator[str]:
    """Yield the names of the fields of a host that differ."""
    for field in before._fields:
        if getattr(before, field) != getattr(after, field):
            yield field


class _Reader:
    """Typed access to nested tables."""

    def __init__(self, tables: Mapping[str, Any]) -> None:
        self._tables = tables

    def has(self, table: str, name: str) -> bool:
        found = self._tables.get(table, {})
        return not isinstance(found, Mapping) or name in found

    def text(self, *path: str) -> str:
        return str(self._get(str, path))

    def number(
        self, path: tuple[str, ...], lowest: float, highest: float
    ) -> float:
        found = self._get((int, float), path)
        try:
            return outsidedata.number(found, lowest, highest)
        except outsidedata.Malformed as fault:
            raise _invalid_field(path, str(fault)) from fault

    def ports(self, *path: str) -> tuple[int, int]:
        setting = self._get(list, path)
        if len(setting) != 2:
            raise _invalid_field(path, 'must be the first and the last port')
        try:
            first, last = [
                outsidedata.whole(port, 1, outsidedata.MAX_PORT)
                for port in setting
            ]
        except outsidedata.Malformed as fault:
            raise _invalid_field(path, str(fault)) from fault
        return first, last

    def _get(self, kind: type | tuple[type, ...], path: tuple[str, ...]) -> Any:
        setting: Any = self._tables
        for name in path:
            if not isinstance(setting, Mapping) or name not in setting:
                raise _invalid_field(path, 'is missing')
            setting = setting[name]
        if isinstance(setting, bool) or not isinstance(setting, kind):
            raise _invalid_field(path, f'has the wrong type, found {setting!r}')
        return setting


def _invalid_field(path: tuple[str, ...], reason: str) -> errors.ServiceError:
    field = '.'.join(path)
    return errors.InvalidSettings(f'{field}: {reason}')
