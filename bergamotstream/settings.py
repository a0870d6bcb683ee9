"""
Settings
~~~~~~~~

Settings of a daemon, read from TOML. All faults are reported at once with the
file, the key and the remedy.
"""

import pathlib
import tomllib
from typing import NamedTuple

import pydantic

from bergamotstream import errors


class Timing(NamedTuple):
    """Durations in milliseconds."""

    tick_ms: int = 25
    heartbeat_ms: int = 250
    link_silent_ms: int = 750
    owner_valid_ms: int = 1_000
    takeover_ms: int = 1_500
    member_removal_ms: int = 10_000
    holdings_wait_ms: int = 500
    grant_lease_ms: int = 3_000
    grant_renew_ms: int = 1_000
    ask_again_ms: int = 150
    silent_ms: int = 1_000
    claim_batch_ms: int = 20
    claim_retention_ms: int = 600_000
    claim_key_age_ms: int = 480_000
    dispatch_window_ms: int = 1_000
    kv_timeout_ms: int = 1_000
    config_stale_limit_ms: int = 3_600_000
    address_keep_ms: int = 5_000
    order_window_ms: int = 2_000
    host_list_ms: int = 1_000
    load_poll_ms: int = 250
    stop_limit_ms: int = 600_000


class Limits(NamedTuple):
    """Sizes and counts."""

    body_bytes: int = 8_000_000
    message_bytes: int = 262_144
    stream_buffer_bytes: int = 262_144
    claim_segment_bytes: int = 65_536
    recorded_answer_bytes: int = 4_096
    open_requests: int = 10_000
    account_partitions: int = 16
    claim_partitions: int = 1
    retry_percent: int = 10
    retry_burst: int = 10
    quarantine_after: float = 2.0
    cell_hosts: int = 8


class Platform(NamedTuple):
    """Where the platform's services are; URLs by IP number."""

    kv: str
    host_list: str
    weight_store: str = ''
    kv_client: str = 'etcd'


class Settings(NamedTuple):
    """Settings of one daemon.

    ``peers`` are peer addresses to ask when the key-value service is down at
    the start. ``seed`` makes tie-breaking choices repeatable.
    """

    host: str
    availability_zone: str
    cell: str
    caller_address: str
    peer_address: str
    platform: Platform
    peers: tuple[str, ...] = ()
    policy: str = 'predictive'
    seed: int = 1
    timing: Timing = Timing()
    limits: Limits = Limits()


def parse_settings(text: str, source: str) -> Settings:
    """Parse TOML settings; ``source`` is the file name used in faults.

    Raises :class:`errors.InvalidSettings` that names every fault.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        raise errors.InvalidSettings(f'{source}: {fault}') from fault
    try:
        return pydantic.TypeAdapter(Settings).validate_python(tables)
    except pydantic.ValidationError as fault:
        raise errors.InvalidSettings(_describe(fault, source)) from fault


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises :class:`errors.InvalidSettings` if it is missing or wrong.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as fault:
        raise errors.InvalidSettings(f'{path}: {fault.strerror}') from fault
    return parse_settings(text, path)


def _describe(fault: pydantic.ValidationError, source: str) -> str:
    lines = []
    for entry in fault.errors():
        key = '.'.join(str(part) for part in entry['loc'])
        lines.append(f'{source}: {key}: {entry["msg"]}')
    return '\n'.join(lines)
