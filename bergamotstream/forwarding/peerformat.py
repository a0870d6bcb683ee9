"""
Peer format
~~~~~~~~~~~

The datagram that carries the state of a host to its peers.
"""

import math
import pathlib
from collections.abc import Collection, Iterable, Iterator
from typing import Any, Final, NamedTuple

import capnp

from bergamotstream import errors, outsidedata
from bergamotstream.forwarding import (
    commitments,
    crashblame,
    crashcounts,
    fleetrecords,
    hostrooms,
    links,
    namedlimits,
    servedcounts,
    targethealth,
)
from bergamotstream.platform import store

# Largest age that a message holds, about 49 days.
MAX_AGE_MS: Final = (1 << 32) - 1
# Limit of what a datagram is read as, several times the largest state.
MAX_WORDS: Final = 131_072
PER_CENT: Final = 100
# Largest capacity that a message holds.
MAX_CAPACITY: Final = (1 << 32) - 1
_LISTS: Final = (
    'commitments',
    'notes',
    'blamed',
    'crashedRuns',
    'brokenRuns',
    'limits',
    'lostServices',
    'failingTargets',
    'reachedTargets',
    'servedRequests',
    'rooms',
)
SCHEMA: Final = capnp.load(str(pathlib.Path(__file__).with_name('peers.capnp')))


class ServiceRoom(NamedTuple):
    """What the targets of one service in one cell have free."""

    service: str
    targets: int
    free_slots: int
    # Mean prefill that is pending on a target.
    pending_ms: float


class HostState(NamedTuple):
    """State that one host sends to its peers."""

    entry: fleetrecords.HostEntry
    sequence: int
    ready: bool
    # Up to here the sender has all items with their documents.
    store_revision: int
    own_commitments: Collection[commitments.Commitment]
    health_estimates: tuple[targethealth.HealthEstimate, ...]
    # When the store last answered the sender.
    store_answered_ms: int
    blame: crashblame.Report = crashblame.Report()
    limits: tuple[namedlimits.LimitReport, ...] = ()
    link_report: links.Report = links.Report()
    # Whether it serves requests that peers send to it.
    accepts_requests: bool = False
    # Up to here the sender knows all news; 0 for older builds, which send none.
    news_revision: int = 0
    # Empty for older builds.
    cell: str = ''
    # Sent to a host of another cell, without commitments and estimates.
    is_summary: bool = False
    rooms: tuple[ServiceRoom, ...] = ()
    # History of the store that both revisions belong to; 0 for older builds.
    store_era: int = 0
    # False for older builds, which decide a request of a peer again.
    checks_decisions: bool = False
    # Of the configuration in force; 0 without one and from older builds.
    configuration_version: int = 0
    # What the directory weighs; unknown of older builds.
    host_room: hostrooms.Room = hostrooms.UNKNOWN

    def complete_position(self) -> store.Position:
        """Return up to where the sender has all documents."""
        return store.Position(self.store_era, self.store_revision)

    def room_of(self, service: str) -> ServiceRoom | None:
        """Return what the sender's cell has free for a service."""
        for room in self.rooms:
            if room.service == service:
                return room
        return None


def encode(state: HostState, now_ms: int) -> bytes:
    """Return the datagram; times are sent as ages in milliseconds."""
    message = SCHEMA.HostState.new_message(
        name=state.entry.name,
        zone=state.entry.zone,
        callerAddress=state.entry.caller_address,
        peerAddress=state.entry.peer_address,
        incarnation=state.entry.incarnation,
        sequence=state.sequence,
        ready=state.ready,
        storeRevision=state.store_revision,
        storeAgeMs=_age_ms(state.store_answered_ms, now_ms),
        commitments=[
            _encode_commitment(entry, now_ms) for entry in state.own_commitments
        ],
        notes=[
            {
                'targetId': estimate.target_id,
                'failing': estimate.failure_rate,
                'slowness': estimate.slowness,
                'refusingMs': estimate.refusing_ms,
            }
            for estimate in state.health_estimates
        ],
        blamed=[
            {
                'fingerprint': entry.fingerprint,
                'ageMs': min(entry.age_ms, MAX_AGE_MS),
                'crashes': entry.crashes,
                'sinceAgeMs': min(entry.since_age_ms, MAX_AGE_MS),
            }
            for entry in state.blame.blamed
        ],
        crashedRuns=_encode_crashes(state.blame.seen.crashes),
        brokenRuns=_encode_crashes(state.blame.seen.broken),
        limits=[_encode_limit(limit, now_ms) for limit in state.limits],
        lostServices=list(state.link_report.lost_services),
        failingTargets=_encode_times(state.link_report.failing, now_ms),
        reachedTargets=_encode_times(state.link_report.reached, now_ms),
        acceptsRequests=state.accepts_requests,
        newsRevision=state.news_revision,
        storeEra=state.store_era,
        checksDecisions=state.checks_decisions,
        configurationVersion=state.configuration_version,
        capacity=min(round(state.host_room.capacity * PER_CENT), MAX_CAPACITY),
        load=round(state.host_room.load * PER_CENT),
        cell=state.cell,
        isSummary=state.is_summary,
        rooms=[
            {
                'service': room.service,
                'targets': room.targets,
                'freeSlots': room.free_slots,
                'pendingMs': room.pending_ms,
            }
            for room in state.rooms
        ],
        servedRequests=[
            {
                'fingerprint': entry.fingerprint,
                'successes': entry.successes,
                'ageMs': min(entry.age_ms, MAX_AGE_MS),
            }
            for entry in state.blame.served
        ],
    )
    encoded: bytes = message.to_bytes_packed()
    return encoded


def _age_ms(at_ms: int, now_ms: int) -> int:
    return min(max(now_ms - at_ms, 0), MAX_AGE_MS)


def decode(datagram: bytes, now_ms: int) -> HostState:
    """Return the state; raises ``InvalidMessage`` if malformed.

    Estimates, limits and commitments whose numbers are out of their range are
    left out.
    """
    try:
        message = SCHEMA.HostState.from_bytes_packed(
            datagram, traversal_limit_in_words=MAX_WORDS
        )
        _check_length(message, len(datagram))
        return _decode(message, now_ms)
    except (capnp.KjException, ValueError) as fault:
        raise errors.InvalidMessage(str(fault)) from fault


def _check_length(message: Any, received_bytes: int) -> None:
    """Raise ``Malformed`` for more entries than the bytes can hold.

    A list may state millions of entries without any content.
    """
    entries = sum(len(getattr(message, name)) for name in _LISTS)
    if entries > received_bytes:
        raise outsidedata.Malformed(
            f'{entries} entries in {received_bytes} bytes'
        )


def _decode(message: Any, now_ms: int) -> HostState:
    return HostState(
        entry=fleetrecords.HostEntry(
            name=outsidedata.text(message.name),
            zone=outsidedata.text(message.zone),
            caller_address=outsidedata.address(message.callerAddress),
            peer_address=outsidedata.address(message.peerAddress),
            incarnation=outsidedata.whole(message.incarnation),
        ),
        sequence=message.sequence,
        ready=message.ready,
        store_revision=outsidedata.whole(message.storeRevision),
        own_commitments=_LazyCommitments(message.commitments, now_ms),
        health_estimates=tuple(
            targethealth.HealthEstimate(
                estimate.targetId,
                estimate.failing,
                estimate.slowness,
                estimate.refusingMs,
            )
            for estimate in message.notes
            if 0 <= estimate.failing <= 1
            and 0 <= estimate.slowness <= targethealth.MAX_SLOWNESS
        ),
        store_answered_ms=now_ms - message.storeAgeMs,
        blame=crashblame.Report(
            crashcounts.SeenCrashes(
                _decode_crashes(message.crashedRuns),
                _decode_crashes(message.brokenRuns),
            ),
            tuple(
                crashblame.Blamed(
                    entry.fingerprint,
                    entry.ageMs,
                    entry.crashes,
                    entry.sinceAgeMs,
                )
                for entry in message.blamed
            ),
            tuple(
                servedcounts.Served(
                    entry.fingerprint, entry.successes, entry.ageMs
                )
                for entry in message.servedRequests
            ),
        ),
        limits=tuple(
            _decode_limit(entry, now_ms)
            for entry in message.limits
            if 0 <= entry.perS <= namedlimits.MAX_PER_S
            and len(entry.sentAgesMs) <= namedlimits.MAX_SENT
        ),
        link_report=links.Report(
            tuple(message.lostServices),
            _decode_times(message.failingTargets, now_ms),
            _decode_times(message.reachedTargets, now_ms),
        ),
        accepts_requests=message.acceptsRequests,
        news_revision=outsidedata.whole(message.newsRevision),
        cell=str(message.cell),
        is_summary=message.isSummary,
        store_era=outsidedata.whole(message.storeEra),
        checks_decisions=message.checksDecisions,
        configuration_version=outsidedata.whole(message.configurationVersion),
        host_room=hostrooms.Room(
            message.capacity / PER_CENT, min(message.load / PER_CENT, 1)
        ),
        rooms=tuple(
            ServiceRoom(
                room.service, room.targets, room.freeSlots, room.pendingMs
            )
            for room in message.rooms
            if room.pendingMs >= 0
        ),
    )


def _encode_times(
    entries: Iterable[links.TargetTime], now_ms: int
) -> list[dict[str, object]]:
    return [
        {
            'targetId': entry.target_id,
            'startedMs': entry.started_ms,
            'ageMs': _age_ms(entry.at_ms, now_ms),
        }
        for entry in entries
    ]


def _decode_times(entries: Any, now_ms: int) -> tuple[links.TargetTime, ...]:
    return tuple(
        links.TargetTime(entry.targetId, entry.startedMs, now_ms - entry.ageMs)
        for entry in entries
    )


def _encode_limit(
    limit: namedlimits.LimitReport, now_ms: int
) -> dict[str, object]:
    encoded: dict[str, object] = {
        'targetId': limit.run.target_id,
        'startedMs': limit.run.started_ms,
        'sentAgesMs': [_age_ms(at_ms, now_ms) for at_ms in limit.sent_ms],
    }
    if limit.statement is None:
        return encoded
    per_s = limit.statement.per_s
    return encoded | {
        'isTold': True,
        'isLimited': per_s is not None,
        'perS': per_s or 0,
        'ageMs': _age_ms(limit.statement.at_ms, now_ms),
    }


def _decode_limit(entry: Any, now_ms: int) -> namedlimits.LimitReport:
    statement = None
    if entry.isTold:
        statement = namedlimits.Statement(
            entry.perS if entry.isLimited else None, now_ms - entry.ageMs
        )
    return namedlimits.LimitReport(
        fleetrecords.TargetRun(entry.targetId, entry.startedMs),
        statement,
        tuple(now_ms - age_ms for age_ms in entry.sentAgesMs),
    )


def _encode_crashes(
    crashes: Iterable[crashcounts.Crash],
) -> list[dict[str, int]]:
    return [crash._asdict() for crash in crashes]


def _decode_crashes(entries: Any) -> frozenset[crashcounts.Crash]:
    return frozenset(
        crashcounts.Crash(entry.fingerprint, entry.run) for entry in entries
    )


def _encode_commitment(
    entry: commitments.Commitment, now_ms: int
) -> dict[str, object]:
    return {
        'targetId': entry.target_id,
        'ageMs': _age_ms(entry.placed_ms, now_ms),
        'request': entry.request_hash,
        'readMs': entry.prefill_ms,
        'isPart': entry.is_part,
        'goalMs': entry.goal_ms,
        'patienceMs': entry.caller_timeout_ms,
        'writes': entry.decodes,
        'writing': entry.decoding,
        'pauseGoalMs': entry.pause_goal_ms,
        'contextTokens': entry.context_tokens,
        'memoryTokens': entry.memory_tokens,
        'value': entry.value,
        'workspace': entry.workspace_hash,
    }


class _LazyCommitments(Collection[commitments.Commitment]):
    """Commitments of a message, decoded on first use.

    In a large system most messages are superseded by later ones before the
    next request is placed.
    """

    def __init__(self, entries: Any, now_ms: int) -> None:
        """Decode the strings; no other field can be malformed."""
        self._entries = entries
        self._now_ms = now_ms
        self._target_ids = [entry.targetId for entry in entries]
        self._decoded: tuple[commitments.Commitment, ...] | None = None

    def __len__(self) -> int:
        """Return the number of commitments."""
        return len(self._target_ids)

    def __contains__(self, wanted: object) -> bool:
        """Tell whether a commitment is among them."""
        return any(entry == wanted for entry in self)

    def __iter__(self) -> Iterator[commitments.Commitment]:
        """Yield the commitments."""
        if self._decoded is None:
            self._decoded = tuple(
                _decode_commitment(target_id, entry, self._now_ms)
                for target_id, entry in zip(
                    self._target_ids, self._entries, strict=True
                )
                if math.isfinite(entry.readMs + entry.value)
            )
        return iter(self._decoded)


def _decode_commitment(
    target_id: str, entry: Any, now_ms: int
) -> commitments.Commitment:
    return commitments.Commitment(
        target_id=target_id,
        placed_ms=now_ms - entry.ageMs,
        request_hash=entry.request,
        prefill_ms=entry.readMs,
        is_part=entry.isPart,
        goal_ms=entry.goalMs,
        caller_timeout_ms=entry.patienceMs,
        decodes=entry.writes,
        decoding=entry.writing,
        pause_goal_ms=entry.pauseGoalMs,
        context_tokens=entry.contextTokens,
        memory_tokens=entry.memoryTokens,
        value=entry.value,
        workspace_hash=entry.workspace,
    )
