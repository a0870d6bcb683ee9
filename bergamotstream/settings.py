"""
Settings
~~~~~~~~

Settings of a daemon, read from TOML. All faults are reported at once with the
file, the key and the remedy.
"""

import pathlib
import tomllib
from typing import Annotated, NamedTuple

import pydantic

from bergamotstream import errors

# The longest duration that a setting may have: one day.
MAX_DURATION_MS = 86_400_000
MAX_AMOUNT = 1_000_000_000

Milliseconds = Annotated[int, pydantic.Field(ge=1, le=MAX_DURATION_MS)]
Amount = Annotated[int, pydantic.Field(ge=1, le=MAX_AMOUNT)]
Percent = Annotated[int, pydantic.Field(ge=0, le=100)]
# A crash with two running requests adds 0.5 to the blame of each; a lower score
# is no evidence.
Blame = Annotated[float, pydantic.Field(ge=0.5, le=100)]


class Timing(NamedTuple):
    """Durations in milliseconds."""

    tick_ms: Milliseconds = 25
    heartbeat_ms: Milliseconds = 250
    link_silent_ms: Milliseconds = 750
    owner_valid_ms: Milliseconds = 1_000
    takeover_ms: Milliseconds = 1_500
    member_removal_ms: Milliseconds = 10_000
    holdings_wait_ms: Milliseconds = 500
    grant_lease_ms: Milliseconds = 3_000
    grant_renew_ms: Milliseconds = 1_000
    ask_again_ms: Milliseconds = 150
    silent_ms: Milliseconds = 1_000
    claim_batch_ms: Milliseconds = 20
    claim_retention_ms: Milliseconds = 600_000
    claim_key_age_ms: Milliseconds = 480_000
    dispatch_window_ms: Milliseconds = 1_000
    kv_timeout_ms: Milliseconds = 1_000
    config_stale_limit_ms: Milliseconds = 3_600_000
    address_keep_ms: Milliseconds = 5_000
    order_window_ms: Milliseconds = 2_000
    host_list_ms: Milliseconds = 1_000
    load_poll_ms: Milliseconds = 250
    stop_limit_ms: Milliseconds = 600_000


class Limits(NamedTuple):
    """Sizes and counts."""

    body_bytes: Amount = 8_000_000
    caller_bytes: Amount = 268_435_456
    message_bytes: Amount = 262_144
    stream_buffer_bytes: Amount = 262_144
    claim_segment_bytes: Amount = 65_536
    recorded_answer_bytes: Amount = 4_096
    open_requests: Amount = 10_000
    account_partitions: Amount = 16
    claim_partitions: Amount = 1
    retry_percent: Percent = 10
    retry_burst: Amount = 10
    quarantine_after: Blame = 2.0
    cell_hosts: Amount = 8


class Platform(NamedTuple):
    """Addresses of the platform's services: URLs with IP addresses."""

    kv: str
    host_list: str
    weight_store: str = ''
    kv_client: str = 'etcd'


class Settings(NamedTuple):
    """Settings of one daemon.

    ``seed`` makes random tie-breaking reproducible.
    """

    host: str
    availability_zone: str
    cell: str
    caller_address: str
    peer_address: str
    platform: Platform
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

    Raises :class:`errors.InvalidSettings` if it is missing or invalid.
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
