"""
Peer relay
~~~~~~~~~~

Sends requests to a peer that serves them, while the links of this host to
targets fail. A request passes one other host at most.
"""

import math
from typing import Final

import aiohttp
import multidict
import yarl

from bergamotstream import errors, outsidedata, records
from bergamotstream.forwarding import (
    dispatch,
    fleetrecords,
    relayformat,
)
from bergamotstream.platform import protocol

# Refusals after which another peer may serve the request. This host has admitted
# it, so a peer that finds fault with it knows another configuration, or is of
# an earlier version.
REPEATABLE_CODES: Final = frozenset(
    (
        'no_target',
        'host_leaving',
        'configuration_unknown',
        'configuration_outdated',
        'unknown_route',
        'unknown_key',
        'headers_too_large',
        'body_too_large',
        'invalid_message',
    )
)
# Errors that an answer may raise that no host of this version has written.
MALFORMED: Final = (*dispatch.READ_FAULTS, KeyError, TypeError)
MAX_ERROR_BYTES: Final = 65_536
MS_PER_S: Final = 1_000
# Longer waits that a peer names are used as this one.
MAX_RETRY_AFTER_S: Final = 60.0
_RUN_STATES_BY_TEXT: Final[dict[str, records.RunState]] = {
    'not_run': 'not_run',
    'may_have_run': 'may_have_run',
    'ran': 'ran',
}


class PeerRefused(ConnectionError):
    """A peer states that the request did not run; another one may serve it."""


class PeerRelay:
    """Client of the peers' relay interface."""

    def __init__(self, session: aiohttp.ClientSession, own_name: str) -> None:
        """Send over ``session`` as the host ``own_name``."""
        self._session = session
        self.own_name = own_name

    async def send(
        self,
        peer: fleetrecords.HostEntry,
        head: relayformat.RelayedHead,
        body: bytes,
    ) -> dispatch.Answer:
        """Send a request and return the answer of a target.

        Raises ``TargetUnreachable`` or ``PeerRefused`` if it has not run,
        ``TargetBroken`` if it may have, or the peer's own ``ServiceError``.
        """
        url = yarl.URL(f'http://{peer.peer_address}{relayformat.RELAY_PATH}')
        try:
            encoded = multidict.CIMultiDict(
                (relayformat.HEAD, line) for line in relayformat.encode(head)
            )
        except UnicodeEncodeError as fault:
            # Header of a caller that is no UTF-8.
            raise PeerRefused(repr(fault)) from fault
        try:
            answer = await self._session.post(
                url,
                headers=encoded,
                data=body or None,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as unreachable:
            raise dispatch.TargetUnreachable(unreachable) from unreachable
        except dispatch.READ_FAULTS as broken:
            raise dispatch.TargetBroken(repr(broken)) from broken
        if protocol.STAMP not in answer.headers:
            raise await _own_error(answer)
        return answer


async def _own_error(answer: dispatch.Answer) -> Exception:
    """Return the error of a peer that has no answer of a target."""
    try:
        text = await answer.content.read(MAX_ERROR_BYTES)
        body = outsidedata.mapping(outsidedata.decode_json(text))
        error = errors.get_error_by_code(outsidedata.text(body['code']))(
            'at a peer',
            run_state=_RUN_STATES_BY_TEXT[outsidedata.text(body['run_state'])],
            retry_after_ms=_retry_after_ms(answer),
        )
    except MALFORMED as broken:
        return dispatch.TargetBroken(f'{answer.status} of a peer: {broken!r}')
    finally:
        answer.release()
    if error.code in REPEATABLE_CODES and error.run_state == 'not_run':
        return PeerRefused(error.code)
    return error


def _retry_after_ms(answer: dispatch.Answer) -> int:
    """Return the wait that a peer names, 0 for none; raises ``ValueError``."""
    wait_s = float(answer.headers.get(protocol.RETRY_AFTER, 0))
    if math.isnan(wait_s):
        return 0
    return round(min(max(wait_s, 0), MAX_RETRY_AFTER_S) * MS_PER_S)
