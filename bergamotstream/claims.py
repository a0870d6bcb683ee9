"""
Claims
~~~~~~

At-most-once execution: the owner of a claims partition answers whether an
idempotency key may be dispatched. ``claimed`` is answered only when the claim
is certainly in the log; see :mod:`claimformat` for its format.
"""

from bergamotstream import (
    actions,
    claimbatch,
    claimformat,
    claimindex,
    claimrules,
    claimwriter,
    components,
    events,
    kvflows,
    messages,
    state,
)

PREFIX = 'claims:'
EXPIRE_INTERVAL_MS = 1_000
OUTAGE_RETRY_MS = 1_000
MOVED_RETRY_MS = 250
RELOAD_DELAY_MS = 1_000
MAX_PENDING = 2_000
MAX_ABANDONED_CLAIMS = 1_000

Writer = claimwriter.LogWriter
WriteResult = claimbatch.WriteResult
ClaimOrOutcome = messages.ClaimRequest | messages.OutcomeReport


class Claims(components.Component):
    """The claim logs of the partitions that this host owns."""

    name = 'claims'

    def __init__(self, shared: state.HostState) -> None:
        """Start without partitions."""
        super().__init__(shared)
        self._runner = kvflows.FlowRunner('claims/')
        self._writers_by_partition: dict[str, Writer] = {}
        # Claims that their host abandoned before they arrived here.
        self._abandoned_claim_ids: dict[str, None] = {}
        self._outage_until_ms = 0
        self._next_expire_ms = 0

    @components.handles(events.PartitionAcquired)
    def on_acquired(
        self, event: events.PartitionAcquired
    ) -> components.Actions:
        """Read the log back and seal it."""
        if not event.partition.startswith(PREFIX):
            return []
        produced = self._drop_writer(event.partition)
        writer = Writer(
            event.partition,
            self.state.settings,
            lambda: self.state.now_ms,
            self._batch_ended,
        )
        self._writers_by_partition[event.partition] = writer
        return produced + self._load(writer)

    @components.handles(events.PartitionLost)
    def on_lost(self, event: events.PartitionLost) -> components.Actions:
        """Refuse pending claims; the write in flight is completed."""
        return self._drop_writer(event.partition)

    @components.handles(messages.ClaimRequest)
    def on_claim(
        self, message: messages.ClaimRequest, sender: str
    ) -> components.Actions:
        """Answer from the index, or write the claim first."""
        writer = self._writers_by_partition.get(message.partition)
        if writer is None:
            return [
                claimrules.reply(sender, message, 'unavailable', MOVED_RETRY_MS)
            ]
        if self._is_unavailable(writer):
            return [
                claimrules.reply(
                    sender, message, 'unavailable', OUTAGE_RETRY_MS
                )
            ]
        if not writer.serving:
            return self._defer(writer, message, sender)
        return self._decide(writer, message, sender)

    @components.handles(messages.OutcomeReport)
    def on_outcome(
        self, message: messages.OutcomeReport, sender: str
    ) -> components.Actions:
        """Write the outcome of a claim; its host repeats the report."""
        writer = self._writers_by_partition.get(message.partition)
        if writer is None:
            return []
        if not writer.serving:
            return self._defer(writer, message, sender)
        key = (message.workspace, message.key)
        pending = writer.find_pending(key)
        if pending is not None and pending.message == message:
            return []
        known = (
            pending.entry if pending else writer.index.entries_by_key.get(key)
        )
        if known is None or known.claim_id != message.claim_id:
            self._remember_abandoned(message)
            return [claimrules.acknowledge(sender, message)]
        if known.state != 'claimed':
            return [] if pending else [claimrules.acknowledge(sender, message)]
        entry = known._replace(
            state=message.state, answer=self._answer_to_record(writer, message)
        )
        return self._enqueue(writer, entry, message, sender)

    @components.handles(events.KvAnswered)
    def on_kv_answered(self, event: events.KvAnswered) -> components.Actions:
        """Resume the flow that waits for this answer."""
        produced = self._runner.handle_kv_answer(event, self.state.now_ms)
        return produced + self._start_due_flows()

    @components.handles(events.Tick)
    def on_tick(self, _event: events.Tick) -> components.Actions:
        """Write due batches, refuse late claims and expire entries."""
        now_ms = self.state.now_ms
        produced = self._runner.tick(now_ms)
        for writer in self._writers_by_partition.values():
            produced.extend(self._refuse_late_claims(writer))
        produced.extend(self._start_due_flows())
        if now_ms >= self._next_expire_ms:
            self._next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
            for log_writer in self._writers_by_partition.values():
                flow = log_writer.expire()
                produced.extend(self._runner.start(flow, now_ms))
        return produced

    def _decide(
        self, writer: Writer, message: messages.ClaimRequest, sender: str
    ) -> components.Actions:
        limit_ms = self.state.settings.timing.claim_key_age_ms
        if not claimrules.age_allowed(message, limit_ms):
            return [claimrules.reply(sender, message, 'expired')]
        if message.claim_id in self._abandoned_claim_ids:
            return [claimrules.reply(sender, message, 'unavailable')]
        key = (message.workspace, message.key)
        known = writer.index.entries_by_key.get(key)
        pending = writer.find_pending(key)
        if pending is not None and pending.entry.state == 'claimed':
            known = pending.entry
            if known.claim_id == message.claim_id:
                # The answer to the first message also answers a repeated one.
                return []
        if known is None or claimrules.may_claim(known, message):
            entry = self._new_entry(message, sender)
            return self._enqueue(writer, entry, message, sender)
        live = self.state.live_peers | {self.state.host}
        return [claimrules.answer_known(known, message, sender, live)]

    def _new_entry(
        self, message: messages.ClaimRequest, sender: str
    ) -> claimformat.Entry:
        return claimformat.Entry(
            workspace=message.workspace,
            key=message.key,
            claim_id=message.claim_id,
            host=sender,
            body_digest=message.body_digest,
            state='claimed',
            born_ms=self.state.now_ms,
        )

    def _answer_to_record(
        self, writer: Writer, message: messages.OutcomeReport
    ) -> bytes | None:
        limit = self.state.settings.limits.recorded_answer_bytes
        fits = len(message.answer) <= limit
        if writer.index.answer_bytes > claimindex.MAX_ANSWER_BYTES:
            fits = False
        return message.answer if message.state == 'ran' and fits else None

    def _enqueue(
        self,
        writer: Writer,
        entry: claimformat.Entry,
        message: ClaimOrOutcome,
        sender: str,
    ) -> components.Actions:
        pending = claimbatch.PendingEntry(
            entry, sender, message, self.state.now_ms
        )
        if len(writer.pending) >= MAX_PENDING:
            return claimrules.refuse(pending, OUTAGE_RETRY_MS)
        writer.pending.append(pending)
        return self._start_due_flows()

    def _defer(
        self, writer: Writer, message: ClaimOrOutcome, sender: str
    ) -> components.Actions:
        deferred = claimbatch.DeferredMessage(
            sender, message, self.state.now_ms
        )
        if len(writer.deferred) >= MAX_PENDING:
            return claimrules.refuse(deferred, OUTAGE_RETRY_MS)
        if all(each.message != message for each in writer.deferred):
            writer.deferred.append(deferred)
        return []

    def _start_due_flows(self) -> components.Actions:
        produced: components.Actions = []
        for writer in list(self._writers_by_partition.values()):
            produced += writer.outbox
            writer.outbox.clear()
            if self.state.now_ms >= self._outage_until_ms:
                flow = writer.due_flow(self.state.new_id())
                if flow is not None:
                    produced += self._runner.start(flow, self.state.now_ms)
        return produced

    def _load(self, writer: Writer, delay_ms: int = 0) -> components.Actions:
        writer.defer_pending()
        flow = writer.load(self.state.new_id(), delay_ms)
        return self._runner.start(flow, self.state.now_ms)

    def _batch_ended(
        self,
        writer: Writer,
        batch: list[claimbatch.PendingEntry],
        result: WriteResult,
    ) -> components.Actions:
        """Answer a batch and handle the result of its write."""
        produced: components.Actions = []
        for pending in batch:
            waited_ms = self.state.now_ms - pending.since_ms
            produced.append(actions.Observe('claim_commit', '', waited_ms))
            produced.extend(
                claimrules.answer_written(pending, result, OUTAGE_RETRY_MS)
            )
        if writer.owned:
            produced.extend(self._handle_result(writer, batch, result))
        return produced

    def _handle_result(
        self,
        writer: Writer,
        batch: list[claimbatch.PendingEntry],
        result: WriteResult,
    ) -> components.Actions:
        if result is WriteResult.NOT_WRITTEN:
            self._outage_until_ms = self.state.now_ms + OUTAGE_RETRY_MS
            writer.requeue_outcomes(batch)
            return []
        if result is WriteResult.WRITTEN:
            return self._replay_deferred(writer) if writer.serving else []
        # Another host has sealed the log, or the result is unknown. If the
        # partition has moved, PartitionLost arrives during the delay.
        refused = self._refuse_claims(writer, self.state.now_ms)
        return refused + self._load(writer, RELOAD_DELAY_MS)

    def _replay_deferred(self, writer: Writer) -> components.Actions:
        deferred = writer.deferred
        writer.deferred = []
        return [
            actions.Raise(events.MessageReceived(each.sender, each.message))
            for each in deferred
        ]

    def _refuse_late_claims(self, writer: Writer) -> components.Actions:
        """Refuse claims that their host can no longer dispatch in time."""
        if self._is_unavailable(writer):
            return self._refuse_claims(writer, self.state.now_ms)
        window_ms = self.state.settings.timing.dispatch_window_ms
        return self._refuse_claims(writer, self.state.now_ms - window_ms)

    def _refuse_claims(
        self, writer: Writer, limit_ms: int
    ) -> components.Actions:
        """Refuse unsent claims received at or before ``limit_ms``."""
        refused: components.Actions = []
        for pending in writer.remove_old_claims(limit_ms):
            refused.extend(claimrules.refuse(pending, OUTAGE_RETRY_MS))
        return refused

    def _drop_writer(self, partition: str) -> components.Actions:
        writer = self._writers_by_partition.pop(partition, None)
        if writer is None:
            return []
        writer.owned = False
        return self._refuse_claims(writer, self.state.now_ms)

    def _is_unavailable(self, writer: Writer) -> bool:
        return writer.kv_failing or self.state.now_ms < self._outage_until_ms

    def _remember_abandoned(self, message: messages.OutcomeReport) -> None:
        if message.state == 'abandoned':
            self._abandoned_claim_ids[message.claim_id] = None
        if len(self._abandoned_claim_ids) > MAX_ABANDONED_CLAIMS:
            self._abandoned_claim_ids.pop(next(iter(self._abandoned_claim_ids)))
