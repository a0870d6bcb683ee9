"""
Documents
~~~~~~~~~

Decodes the platform's documents into the project's records. A field of a
configuration that cannot be used does not cost the whole configuration; an
entry of a target with such a field names no target.
"""

import contextlib
import json
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, TypeVar

from bergamotstream import outsidedata
from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import configurationformat, protocol

# Version and start of a target, which others may count in JavaScript.
MAX_VERSION: Final = 1 << 53
MAX_STARTED_MS: Final = 1 << 53
# Levels of a configuration, most of them in fields that nobody reads here. The
# JSON reader of the interpreter takes 990 at a shallow stack.
MAX_CONFIGURATION_DEPTH: Final = 400
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
    """Decode an ``op/config`` of which no field has to be refused.

    Raises :class:`Undecodable`, which names the first such field.
    """
    found = read_configuration(document)
    if found.faults.first:
        fault = found.faults.first[0]
        raise Undecodable(f'configuration: {fault.key}: {fault.reason}')
    return found.configuration


def read_configuration(
    document: bytes,
) -> configurationformat.ReadConfiguration:
    """Decode ``op/config`` as far as its fields can be used.

    Raises :class:`Undecodable` for a document that is no object, or that has
    no version, list of routes or list of services.
    """
    with _decoding('configuration'):
        body = outsidedata.mapping(
            outsidedata.decode_json(document, MAX_CONFIGURATION_DEPTH)
        )
        version = _whole(body['version'], MAX_VERSION)
        return configurationformat.build(body, version)


def _whole(found: Any, highest: int) -> int:
    """Return a whole number, which may be written as ``5.0``."""
    if isinstance(found, float) and found.is_integer():
        found = int(found)
    return outsidedata.whole(found, highest=highest)


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
        cold_ms=_field(body, 'cold_left_ms', _cold_ms, 0),
        started_ms=_field(body, 'born', _started_ms, 0),
    )


def _checked_id(target_id: str) -> str:
    """Return an id that a header can hold."""
    with _decoding('key'):
        if ' ' in outsidedata.text(target_id, MAX_NAME):
            raise outsidedata.Malformed('a space in it')
    return target_id


def _slots(found: Any) -> int:
    return outsidedata.whole(found, 1, configurationformat.MAX_SLOTS)


def _cold_ms(found: Any) -> int:
    return _whole(found, configurationformat.MAX_DURATION_MS)


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
