"""
Relay format
~~~~~~~~~~~~

The head of a request that a host sends to a peer because its own links to
targets fail. It travels in a header, so that the body is sent as it was
received.
"""

import base64
import re
from collections.abc import Iterable
from typing import Any, Final, NamedTuple
from urllib import parse as url_parts

import capnp
import multidict

from bergamotstream import errors
from bergamotstream.forwarding import (
    exchangerecords,
    fleetrecords,
    peerformat,
)
from bergamotstream.platform import protocol

RELAY_PATH: Final = '/requests'
HEAD: Final = 'Relayed-Head'
# Part of a head in one header line, below the limits of the HTTP library.
MAX_LINE_CHARACTERS: Final = 24_576
# What a method or the name of a header consists of.
_TOKEN: Final = re.compile(r"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
_FORBIDDEN: Final = re.compile(r'[\0\r\n]')
# Names the run of the target whose answer a peer passes on.
TARGET: Final = 'Relayed-Target'
# A time in ms of 64 bits has no more.
MAX_TIME_DIGITS: Final = 19


class RelayedHead(NamedTuple):
    """A caller's request and what its first host has done for it."""

    sender: str
    method: str
    target: str
    # The end-to-end headers of the caller.
    headers: tuple[tuple[str, str], ...]
    keys: tuple[str, ...]
    # Time until the final answer is due.
    remaining_ms: int
    # Tries that were sent to a target, and these targets.
    tries_sent: int
    reached_target_ids: tuple[str, ...]
    last_event_id: str
    # Whether the retry budget of the sender counts the request.
    is_counted: bool
    # ``None`` from hosts of earlier versions.
    decision: exchangerecords.Decision | None = None
    # A blamed part that the sender has chosen this request to try.
    trial_part: int = 0

    def caller_headers(self) -> multidict.CIMultiDictProxy[str]:
        """Return the headers as a caller of this host would send them."""
        headers = multidict.CIMultiDict(self.headers)
        headers[protocol.DEADLINE_MS] = str(max(self.remaining_ms, 1))
        for key in self.keys:
            headers.add(protocol.API_KEY, key)
        if self.last_event_id:
            headers[protocol.LAST_EVENT_ID] = self.last_event_id
        return multidict.CIMultiDictProxy(headers)


def head_of(
    request: exchangerecords.CallerRequest,
    sender: str,
    remaining_ms: int,
    decision: exchangerecords.Decision | None = None,
    **progress: Any,
) -> RelayedHead:
    """Return the head of a request; ``progress`` is that of its tries."""
    head = RelayedHead(
        sender=sender,
        method=request.method,
        target=request.target,
        headers=request.headers,
        keys=request.keys,
        remaining_ms=remaining_ms,
        tries_sent=0,
        reached_target_ids=(),
        last_event_id=request.last_event_id,
        is_counted=False,
        decision=decision,
    )
    return head._replace(**progress)


def encode(head: RelayedHead) -> list[str]:
    """Return the texts of the header's lines.

    Hosts of earlier versions read one only.
    """
    message = peerformat.SCHEMA.RelayedRequest.new_message(
        sender=head.sender,
        method=head.method,
        target=head.target,
        headers=[{'name': name, 'text': text} for name, text in head.headers],
        keys=list(head.keys),
        remainingMs=max(head.remaining_ms, 0),
        triesSent=head.tries_sent,
        reachedTargetIds=list(head.reached_target_ids),
        lastEventId=head.last_event_id,
        isCounted=head.is_counted,
        trialPart=head.trial_part,
    )
    if head.decision is not None:
        message.decision = _encode_decision(head.decision)
    text = base64.b64encode(message.to_bytes_packed()).decode()
    return [
        text[start : start + MAX_LINE_CHARACTERS]
        for start in range(0, len(text), MAX_LINE_CHARACTERS)
    ]


def decode(lines: Iterable[str]) -> RelayedHead:
    """Return the head; raises ``InvalidMessage`` if malformed."""
    try:
        message = peerformat.SCHEMA.RelayedRequest.from_bytes_packed(
            base64.b64decode(''.join(lines), validate=True)
        )
        head = RelayedHead(
            sender=message.sender,
            method=message.method,
            target=message.target,
            headers=tuple(
                (entry.name, entry.text) for entry in message.headers
            ),
            keys=tuple(message.keys),
            remaining_ms=message.remainingMs,
            tries_sent=message.triesSent,
            reached_target_ids=tuple(message.reachedTargetIds),
            last_event_id=message.lastEventId,
            is_counted=message.isCounted,
            decision=_decode_decision(message.decision),
            trial_part=message.trialPart,
        )
    except (capnp.KjException, ValueError) as fault:
        raise errors.InvalidMessage(str(fault)) from fault
    _check_head(head)
    return head


def _encode_decision(decision: exchangerecords.Decision) -> dict[str, Any]:
    return {
        'service': decision.service,
        'workspace': decision.workspace,
        'streaming': decision.streaming,
        'retryPolicy': decision.retry_policy.value,
        'maxTargets': decision.max_targets,
    }


def _decode_decision(message: Any) -> exchangerecords.Decision | None:
    """Return the decision; raises ``ValueError`` for an unknown policy."""
    if not message.service:
        return None
    return exchangerecords.Decision(
        message.service,
        message.workspace,
        message.streaming,
        fleetrecords.RetryPolicy(message.retryPolicy),
        message.maxTargets,
    )


def _check_head(head: RelayedHead) -> None:
    """Raise ``InvalidMessage`` for a head that no request can have."""
    tokens = (head.method, *(name for name, _ in head.headers))
    texts = (
        head.target,
        head.last_event_id,
        *head.keys,
        *(text for _, text in head.headers),
    )
    if not head.target.startswith('/') or not _are_sendable(tokens, texts):
        raise errors.InvalidMessage('a head that cannot be sent')


def _are_sendable(tokens: Iterable[str], texts: Iterable[str]) -> bool:
    return all(map(_TOKEN.fullmatch, tokens)) and not any(
        map(_FORBIDDEN.search, texts)
    )


def encode_run(run: fleetrecords.TargetRun) -> str:
    """Return the text that names a run of a target."""
    return f'{run.started_ms} {url_parts.quote(run.target_id, safe="")}'


def take_run(
    headers: multidict.CIMultiDict[str],
) -> fleetrecords.TargetRun | None:
    """Remove the name of the target from the headers of an answer.

    ``None`` if a host of an earlier version has not named it.
    """
    text, *others = headers.popall(TARGET, [''])
    started, _, target_id = text.partition(' ')
    is_time = started.isascii() and started.isdecimal()
    if others or not is_time or len(started) > MAX_TIME_DIGITS:
        return None
    return fleetrecords.TargetRun(url_parts.unquote(target_id), int(started))
