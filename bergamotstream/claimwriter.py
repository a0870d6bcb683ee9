"""
Writer of one claim log
~~~~~~~~~~~~~~~~~~~~~~~

Group commit for one owned claims partition: pending entries, the one segment
in flight, and the flows that read the log back, seal it, write and fold.
"""

from collections.abc import Callable, Generator

from bergamotstream import (
    actions,
    claimbatch,
    claimformat,
    claimindex,
    components,
    events,
    kvflows,
    messages,
    settings,
)

RETRY_MS = 200
RELOAD_MS = 1_000
DELETE_TRIES = 5
# At most 1 MB in one read, which is decoded in a few milliseconds.
PAGE_SEGMENTS = 16


BatchReport = Callable[
    ['LogWriter', list[claimbatch.PendingEntry], claimbatch.WriteResult],
    components.Actions,
]
SegmentFlow = Generator[kvflows.Step, kvflows.Answers, claimbatch.WriteResult]


class LogWriter:
    """The log of one partition at its owner.

    ``clock`` returns the current time and ``report`` is called with the result
    of each batch. After ``owned`` is cleared, only the write in flight is
    completed.
    """

    def __init__(
        self,
        partition: str,
        config: settings.Settings,
        clock: Callable[[], int],
        report: BatchReport,
    ) -> None:
        """Start unloaded; run :meth:`load` first."""
        self.partition = partition
        self._cell = config.cell
        self.index = self._empty_index(config)
        self.owned = True
        self.serving = False
        self.kv_failing = False
        self.busy = False
        self.deferred: list[claimbatch.DeferredMessage] = []
        self.pending: list[claimbatch.PendingEntry] = []
        self.in_flight: list[claimbatch.PendingEntry] = []
        self.outbox: components.Actions = []
        self._settings = config
        self._clock = clock
        self._report = report
        self._last_start_ms = -config.timing.claim_batch_ms
        self._confirmed_ms = 0
        self._nonce_count = 0

    def load(self, incarnation: str, delay_ms: int = 0) -> kvflows.Flow:
        """Read the segments back, seal the next sequence, then serve."""
        self.serving = False
        self.busy = True
        if delay_ms:
            yield kvflows.Pause(delay_ms)
        while self.owned and not self.serving:
            read_ms = yield from self._read_back()
            self.kv_failing = read_ms is None
            if read_ms is not None and self.owned:
                yield from self._seal(read_ms, incarnation)
            if not self.serving:
                yield kvflows.Pause(RELOAD_MS)
        self.busy = False
        return self._report(self, [], claimbatch.WriteResult.WRITTEN)

    def due_flow(self, incarnation: str) -> kvflows.Flow | None:
        """Return the flow to run now, if any, and move its entries to it."""
        now_ms = self._clock()
        if self.busy or not self.serving:
            return None
        fold = self.index.plan_fold()
        if fold is not None:
            self.busy = True
            return self._fold(fold, incarnation)
        batch_ms = self._settings.timing.claim_batch_ms
        if not self.pending or now_ms - self._last_start_ms < batch_ms:
            return None
        if now_ms - self._confirmed_ms > self._confirmation_timeout_ms():
            self.defer_pending()
            return self.load(incarnation)
        self.busy = True
        self._last_start_ms = now_ms
        self._fill_batch()
        return self._commit(incarnation)

    def expire(self) -> kvflows.Flow:
        """Drop old entries and delete the segments that held them."""
        if not self.serving:
            return []
        self.index.expire(self._clock())
        for first, last in self.index.pop_due_deletions(self._clock()):
            yield from self._delete(first, last)
        return []

    def defer_pending(self) -> None:
        """Defer the messages of pending entries until the log is read back."""
        self.deferred.extend(
            claimbatch.DeferredMessage(
                pending.sender, pending.message, pending.since_ms
            )
            for pending in self.pending
        )
        self.pending = []

    def requeue_outcomes(self, batch: list[claimbatch.PendingEntry]) -> None:
        """Write the outcomes of a failed batch again with the next one."""
        outcomes = [
            pending
            for pending in batch
            if isinstance(pending.message, messages.OutcomeReport)
        ]
        self.pending = outcomes + self.pending

    def remove_old_claims(
        self, limit_ms: int
    ) -> list[claimbatch.PendingEntry | claimbatch.DeferredMessage]:
        """Remove and return claims received at or before ``limit_ms``."""
        candidates: list[
            claimbatch.PendingEntry | claimbatch.DeferredMessage
        ] = []
        candidates.extend(self.pending)
        candidates.extend(self.deferred)
        old = [
            each
            for each in candidates
            if claimbatch.is_old_claim(each, limit_ms)
        ]
        if old:
            self.pending = [each for each in self.pending if each not in old]
            self.deferred = [each for each in self.deferred if each not in old]
        return old

    def find_pending(
        self, key: claimformat.Key
    ) -> claimbatch.PendingEntry | None:
        """Return the newest unconfirmed entry of a key."""
        for pending in reversed(self.in_flight + self.pending):
            if claimformat.key_of(pending.entry) == key:
                return pending
        return None

    def _empty_index(self, config: settings.Settings) -> claimindex.ClaimIndex:
        return claimindex.ClaimIndex(
            config.limits.claim_segment_bytes, config.timing.claim_retention_ms
        )

    def _seal(
        self, read_ms: int, incarnation: str
    ) -> Generator[kvflows.Step, kvflows.Answers, None]:
        result = yield from self._append('seal', (), incarnation)
        if self._clock() - read_ms <= claimindex.SEAL_CONFIRM_LIMIT_MS:
            self.serving = result is claimbatch.WriteResult.WRITTEN

    def _read_back(
        self,
    ) -> Generator[kvflows.Step, kvflows.Answers, int | None]:
        """Read all segments in pages; return when the last page was requested.

        The previous owner may still write between two pages. A fold moves
        entries to a later segment before it deletes the earlier ones, so
        ascending pages miss none that is older than the page before.
        """
        self.index = self._empty_index(self._settings)
        prefix = claimformat.segment_prefix(self._cell, self.partition)
        page = actions.KvRead('', prefix, prefix=True, limit=PAGE_SEGMENTS)
        while True:
            requested_ms = self._clock()
            answers = yield (page,)
            items = answers[0].items
            if answers[0].status != 'ok':
                return None
            try:
                self.index.read_back(items, self._clock())
            except (ValueError, KeyError, TypeError) as fault:
                # Without all entries a key could be claimed twice.
                fields = {'partition': self.partition, 'fault': str(fault)}
                self.outbox.append(actions.LogEvent('claims_corrupt', fields))
                return None
            if len(items) < PAGE_SEGMENTS:
                return requested_ms
            page = page._replace(after_key=items[-1].key)

    def _fill_batch(self) -> None:
        free_bytes = self._settings.limits.claim_segment_bytes
        free_bytes -= claimformat.HEADER_BYTES
        count = 0
        for pending in self.pending:
            free_bytes -= claimformat.entry_size(pending.entry)
            if free_bytes < 0:
                break
            count += 1
        self.in_flight = self.pending[:count]
        self.pending = self.pending[count:]

    def _commit(self, incarnation: str) -> kvflows.Flow:
        entries = tuple(pending.entry for pending in self.in_flight)
        result = yield from self._append('batch', entries, incarnation)
        batch = self.in_flight
        self.in_flight = []
        self.busy = False
        return self._report(self, batch, result)

    def _fold(self, fold: claimindex.Fold, incarnation: str) -> kvflows.Flow:
        result = yield from self._append('fold', fold.entries, incarnation)
        self.busy = False
        produced = self._report(self, [], result)
        if result is claimbatch.WriteResult.WRITTEN:
            self.index.mark_obsolete(fold.sources)
        return produced

    def _append(
        self,
        kind: claimformat.Kind,
        entries: tuple[claimformat.Entry, ...],
        incarnation: str,
    ) -> SegmentFlow:
        """Create the next segment; repeat the write while it is uncertain.

        A conflict with the same content, which includes the nonce, means
        that an earlier write took effect and its answer was lost.
        """
        sequence = self.index.next_sequence
        self._nonce_count += 1
        segment = claimformat.Segment(
            kind, f'{incarnation}.{self._nonce_count}', entries
        )
        content = claimformat.encode_segment(segment, self._clock())
        key = claimformat.segment_key(self._cell, self.partition, sequence)
        result = yield from self._create(key, content)
        if result is claimbatch.WriteResult.WRITTEN:
            self._confirmed_ms = self._clock()
            self.index.add(sequence, segment, len(content), self._clock())
        return result

    def _create(self, key: str, content: bytes) -> SegmentFlow:
        sent_ms = self._clock()
        uncertain = False
        while True:
            answers = yield (actions.KvWrite('', key, content, 0),)
            result = self._write_result(answers[0], content)
            self.kv_failing = result is None
            if result is not None:
                return result
            uncertain = uncertain or answers[0].status != 'unavailable'
            if not uncertain:
                self.kv_failing = False
                return claimbatch.WriteResult.NOT_WRITTEN
            if (
                not self.owned
                or self._clock() - sent_ms > self._confirmation_timeout_ms()
            ):
                return claimbatch.WriteResult.UNCERTAIN
            yield kvflows.Pause(RETRY_MS)

    def _write_result(
        self, answered: events.KvAnswered, content: bytes
    ) -> claimbatch.WriteResult | None:
        if answered.status == 'ok':
            return claimbatch.WriteResult.WRITTEN
        if answered.status == 'conflict' and answered.items:
            is_same = answered.items[0].value == content
            return (
                claimbatch.WriteResult.WRITTEN
                if is_same
                else claimbatch.WriteResult.SEALED
            )
        return None

    def _confirmation_timeout_ms(self) -> int:
        """Return half the time for which the seal of a later owner is kept.

        An owner without a confirmed write for that long reads the log back
        before it writes again.
        """
        return self._settings.timing.claim_retention_ms // 2

    def _delete(
        self, first: int, last: int
    ) -> Generator[kvflows.Step, kvflows.Answers, None]:
        action = actions.KvDelete(
            '',
            claimformat.segment_key(self._cell, self.partition, first),
            claimformat.segment_key(self._cell, self.partition, last + 1),
        )
        # Segments that are not deleted are read back by the next owner and
        # folded again, which is harmless.
        for _ in range(DELETE_TRIES):
            answers = yield (action,)
            if answers[0].status == 'ok':
                break
            yield kvflows.Pause(RELOAD_MS)
