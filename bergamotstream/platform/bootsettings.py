"""
Boot settings
~~~~~~~~~~~~~

Reads the settings file that the platform provides to each process and checks
the fields that are used. Unknown fields are ignored.
"""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from bergamotstream import errors, outsidedata
from bergamotstream.forwarding import hostsettings

PATH_VARIABLE = 'BERGAMOTSTREAM_BOOT'
MS_PER_S = 1_000


def settings_path() -> str:
    """Return the path of the settings file; raises ``InvalidSettings``."""
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.InvalidSettings(f'{PATH_VARIABLE} is not set')
    return path


def load(path: str) -> hostsettings.HostSettings:
    """Read and check the settings; raises ``InvalidSettings``."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return decode(tomllib.loads(text))
    except (OSError, ValueError, RecursionError) as fault:
        raise errors.InvalidSettings(f'{path}: {fault}') from fault


def decode(tables: Mapping[str, Any]) -> hostsettings.HostSettings:
    """Return the settings; raises ``InvalidSettings`` naming the field."""
    reader = _Reader(tables)
    decoded = hostsettings.HostSettings(
        name=reader.text('node_name'),
        ip=reader.text('ip'),
        zone=reader.text('zone'),
        caller_address=reader.text('listen', 'front'),
        readiness_address=reader.text('listen', 'readiness'),
        directory_address=reader.text('listen', 'directory'),
        peer_ports=reader.ports('internal_ports'),
        store=_store(reader),
        bounds=_bounds(reader),
    )
    _check_addresses(decoded)
    return decoded


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


def _bounds(reader: '_Reader') -> hostsettings.Bounds:
    return hostsettings.Bounds(
        stop_grace_ms=reader.integer('bounds', 'grace_s') * MS_PER_S,
        retry_ratio=reader.number('bounds', 'budget_ratio'),
        retry_window_ms=reader.integer('bounds', 'budget_window_s') * MS_PER_S,
        retry_slack=reader.integer('bounds', 'budget_slack'),
    )


class _Reader:
    """Typed access to nested tables."""

    def __init__(self, tables: Mapping[str, Any]) -> None:
        self._tables = tables

    def text(self, *path: str) -> str:
        return str(self._get(str, path))

    def integer(self, *path: str) -> int:
        return int(self._get(int, path))

    def number(self, *path: str) -> float:
        return float(self._get((int, float), path))

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
