"""
Commitments
~~~~~~~~~~~

The work that hosts have placed on targets and that has not ended. Each host
sends its own commitments to its peers; the sum gives the load of a target
without a request to it.
"""

import collections
from collections.abc import Callable, Container, Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple

from bergamotstream.forwarding import enginetiming

# A peer that has been silent for longer is taken to have failed, together with
# its requests. Peers send at least one datagram a second.
PEER_SILENCE_MS: Final = 2_500
# Time from a placement to the start of its prefill: a new connection, the
# transfer and the rest of the engine's present pass.
PREFILL_START_MS: Final = 60


class Commitment(NamedTuple):
    """Work of one request on one target."""

    target_id: str
    placed_ms: int
    # Hash of the attempt ID, the same on all targets of the attempt.
    request_hash: int
    # Duration of the whole prefill on this target; 0 once it is done.
    prefill_ms: float
    # One part of a split prompt.
    is_part: bool
    # Times after the placement at which the first token is late and at which
    # the caller times out; the latter also applies after the last event.
    goal_ms: int
    caller_timeout_ms: int
    # False for a helper, which only prefills.
    decodes: bool
    decoding: bool
    # The inter-event gap beyond which the answer is late; 0 if none is.
    pause_goal_ms: int
    context_tokens: int
    # Memory that the request occupies on this target.
    memory_tokens: int
    # Value of the answer when it is on time.
    value: float
    # Hash of the workspace's name; 0 if it is not known.
    workspace_hash: int = 0


class PendingPrefill(NamedTuple):
    """A prefill on a target that is not done."""

    request_hash: int
    remaining_ms: float
    # Time until it is done if nothing is queued before it.
    finish_ms: float
    # Age of the placement, and the ages at which the first token is late and
    # at which the caller times out.
    age_ms: int
    goal_ms: int
    caller_timeout_ms: int
    value: float


class ActiveAnswer(NamedTuple):
    """An answer on a target that a gap between events can make late."""

    # The inter-event gap beyond which it is late; 0 if it is late already.
    pause_goal_ms: int
    # The gap after which its caller times out.
    caller_timeout_ms: int
    value: float


class TargetLoad(NamedTuple):
    """The commitments of one target, summed."""

    requests: int
    helpers: int
    decoding_requests: int
    # Sum of the pending prefills.
    prefill_ms: float
    # Context of the requests in decode.
    context_tokens: int
    # Memory of all requests and reservations.
    memory_tokens: int
    # Also answers that are still in prefill.
    answers: tuple[ActiveAnswer, ...]
    # In the order in which the engine runs them.
    pending_prefills: tuple[PendingPrefill, ...]


IDLE: Final = TargetLoad(0, 0, 0, float(0), 0, 0, (), ())


class PeerState(NamedTuple):
    """Commitments of one peer as of its last message."""

    incarnation: int
    sequence: int
    received_ms: int
    commitments: Iterable[Commitment]


class CommitmentTable:
    """Commitments of this host and of its peers."""

    def __init__(self) -> None:
        """Start empty."""
        self._own_by_id: dict[int, Commitment] = {}
        self._next_id = 0
        self._peers_by_name: dict[str, PeerState] = {}
        # Called when work may have ended, here or at a peer.
        self.handle_freed: Callable[[], None] = _ignore

    def add(self, commitment: Commitment) -> int:
        """Add a commitment of this host and return its id."""
        self._next_id += 1
        self._own_by_id[self._next_id] = commitment
        return self._next_id

    def update(self, commitment_id: int, **fields: Any) -> None:
        """Replace fields of a commitment of this host, if it has not ended."""
        known = self._own_by_id.get(commitment_id)
        if known is not None:
            self._own_by_id[commitment_id] = known._replace(**fields)

    def remove(self, commitment_id: int) -> None:
        """End a commitment of this host; does nothing if it has ended."""
        self._own_by_id.pop(commitment_id, None)
        self.handle_freed()

    def own(self) -> Iterable[Commitment]:
        """Return the commitments of this host."""
        return self._own_by_id.values()

    def peer_names(self) -> Iterable[str]:
        """Return the names of the peers that are not silent."""
        return self._peers_by_name.keys()

    def update_peer(self, name: str, state: PeerState) -> bool:
        """Replace the commitments of a peer; older messages are ignored."""
        known = self._peers_by_name.get(name)
        if known is not None and _message_order(state) <= _message_order(known):
            return False
        self._peers_by_name[name] = state
        self.handle_freed()
        return True

    def remove_silent_peers(self, now_ms: int) -> list[str]:
        """Drop the peers that have been silent too long; return their names."""
        silent = [
            name
            for name, peer in self._peers_by_name.items()
            if now_ms - peer.received_ms > PEER_SILENCE_MS
        ]
        for name in silent:
            self._peers_by_name.pop(name)
        return silent

    def loads(self, now_ms: int) -> Mapping[str, TargetLoad]:
        """Return the load of each target that has any."""
        by_target: dict[str, list[Commitment]] = {}
        for commitment in self._all_commitments():
            by_target.setdefault(commitment.target_id, []).append(commitment)
        return {
            target_id: _total_load(listed, now_ms)
            for target_id, listed in by_target.items()
        }

    def used_by_workspace(
        self, target_ids: Container[str]
    ) -> collections.Counter[int]:
        """Return what requests on targets cost, by workspace.

        That is the tokens of a request of an engine, and one for others.
        """
        used: collections.Counter[int] = collections.Counter()
        for entry in self._all_commitments():
            if entry.decodes and entry.target_id in target_ids:
                used[entry.workspace_hash] += max(entry.context_tokens, 1)
        return used

    def _all_commitments(self) -> Iterator[Commitment]:
        yield from self._own_by_id.values()
        for peer in self._peers_by_name.values():
            yield from peer.commitments


def _ignore() -> None:
    """Nothing waits for work to end."""


def _message_order(peer: PeerState) -> tuple[int, int]:
    return peer.incarnation, peer.sequence


def _total_load(listed: list[Commitment], now_ms: int) -> TargetLoad:
    requests = [entry for entry in listed if entry.decodes]
    decoding = [entry for entry in requests if entry.decoding]
    pending_prefills = tuple(_pending_prefills(listed, now_ms))
    return TargetLoad(
        requests=len(requests),
        helpers=len(listed) - len(requests),
        decoding_requests=len(decoding),
        prefill_ms=sum(prefill.remaining_ms for prefill in pending_prefills),
        context_tokens=sum(entry.context_tokens for entry in decoding),
        memory_tokens=sum(entry.memory_tokens for entry in listed),
        answers=tuple(
            ActiveAnswer(
                entry.pause_goal_ms, entry.caller_timeout_ms, entry.value
            )
            for entry in requests
        ),
        pending_prefills=pending_prefills,
    )


def _pending_prefills(
    listed: list[Commitment], now_ms: int
) -> Iterator[PendingPrefill]:
    """Yield the prefills that are not done, in the engine's order."""
    pending = [entry for entry in listed if entry.prefill_ms]
    prefills = [
        enginetiming.Prefill(
            entry.placed_ms + PREFILL_START_MS, entry.prefill_ms, entry.is_part
        )
        for entry in pending
    ]
    remaining_ms = enginetiming.remaining_prefill_ms(prefills, now_ms)
    finish_ms = float(0)
    for index in enginetiming.prefill_order(prefills, range(len(prefills))):
        entry = pending[index]
        finish_ms += remaining_ms[index]
        if remaining_ms[index] > 0:
            yield PendingPrefill(
                request_hash=entry.request_hash,
                remaining_ms=remaining_ms[index],
                finish_ms=finish_ms,
                age_ms=now_ms - entry.placed_ms,
                goal_ms=entry.goal_ms,
                caller_timeout_ms=entry.caller_timeout_ms,
                value=entry.value,
            )
