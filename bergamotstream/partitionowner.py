"""
Partition owner
~~~~~~~~~~~~~~~

The grants of one target partition: their leases, their end, and the targets
they occupy. Nothing here reads a clock or sends anything by itself.
"""

from bergamotstream import (
    actions,
    admission,
    adoption,
    assignments,
    crashes,
    events,
    grants,
    granttable,
    messages,
    placing,
    quarantine,
    records,
    state,
    targetstate,
)

# Outcomes after which the target certainly holds no memory of the attempt.
CERTAIN_OUTCOMES = frozenset(('finished', 'not_run', 'unused'))
# Outcomes after which the other targets of a group hold nothing either.
UNSENT_OUTCOMES = frozenset(('not_run', 'unused'))
LOAD_INTERVAL_MS = 250


class PartitionOwner:
    """All decisions about the targets of one partition."""

    def __init__(
        self,
        partition: str,
        service: records.ServiceConfig,
        shared: state.HostState,
        blame: quarantine.Quarantine,
    ) -> None:
        """Start without targets and grants."""
        self.partition = partition
        self.service = service
        self.targets_by_name: dict[str, targetstate.TargetState] = {}
        self.table = granttable.GrantTable()
        self.adoption = adoption.Adoption(partition, shared)
        self.admission = admission.Admission(
            partition, shared, service, self.targets_by_name, blame
        )
        self._state = shared
        self._blame = blame
        self._crashes = crashes.CrashWatch(shared, self.table, blame)
        self._load_ms = shared.now_ms - LOAD_INTERVAL_MS
        self._out: list[actions.Action] = []

    def take_actions(self) -> list[actions.Action]:
        """Grant what is possible and return all actions so far."""
        if self.adoption.complete:
            self.admission.pump(self._grant)
        self._out.extend(self.admission.take_denials())
        taken = self._out
        self._out = []
        return taken

    def update_targets(
        self, listed: dict[str, records.TargetInfo], leaving: frozenset[str]
    ) -> None:
        """Follow the host list and the bundle."""
        for name in list(self.targets_by_name):
            if name not in listed:
                self._forget_target(name)
        for info in listed.values():
            target = self.targets_by_name.get(info.name)
            if target is None:
                target = targetstate.TargetState(
                    info, self.service, self._state.now_ms
                )
                self.targets_by_name[info.name] = target
                self._out.append(actions.WatchTarget(info))
            target.info = info
            target.leaving_by_operator = info.name in leaving
        self.admission.placer.refresh()
        self._deny_without_targets()

    def drop(self) -> None:
        """Stop watching; the next owner learns the rest from the holders."""
        for name in self.targets_by_name:
            self._out.append(actions.UnwatchTarget(name))
        self.admission.deny_all('no_owner')

    def take_over(self, previous: 'PartitionOwner') -> None:
        """Continue with the requests and watches of an older state."""
        watched = [
            actions.WatchTarget(target.info)
            for target in previous.targets_by_name.values()
        ]
        self._out = [action for action in self._out if action not in watched]
        for waiting in previous.admission.waiting_by_request.values():
            self.admission.submit(waiting)
        previous.admission.waiting_by_request.clear()

    def request(self, message: messages.GrantRequest, asker: str) -> None:
        """Queue a request, or repeat the answer that it has had."""
        request_id = message.request.request_id
        grant = self.table.of_request(request_id)
        if grant is not None and grant.holder != asker:
            # Another host has resumed the request; a paused one must not
            # take it back.
            self._deny_moved(request_id, asker, grant.expires_ms)
            return
        if grant is not None:
            names = {target.name for target in grant.targets}
            if names.isdisjoint(message.excluded_targets):
                grant.asked_ms = message.sent_ms
                grant.expires_ms = self._lease_end_ms()
                self._out.append(grants.grant_reply(self.partition, grant))
                return
            self._end_grant(grant, 'failed')
        queued = self.admission.waiting_by_request.get(request_id)
        if queued is not None:
            if queued.asker != asker:
                self._deny_moved(request_id, queued.asker, queued.deadline_ms)
            queued.asker = asker
            queued.asked_ms = message.sent_ms
            queued.excluded = frozenset(message.excluded_targets)
            return
        waiting = grants.Waiting(message, asker, self._state.now_ms)
        self.admission.submit(waiting)

    def renew(self, attempt_id: str, sender: str) -> None:
        """Extend a lease, or tell the sender that there is none."""
        grant = self.table.get(attempt_id)
        if grant is not None:
            if grant.holder == sender:
                grant.expires_ms = self._lease_end_ms()
                return
            moved = messages.GrantExpired(
                self.partition, attempt_id, moved=True
            )
            self._out.append(actions.SendMessage(sender, moved))
            return
        if sender in self.adoption.answered or self.adoption.certain:
            expired = messages.GrantExpired(self.partition, attempt_id)
            self._out.append(actions.SendMessage(sender, expired))
        else:
            query = messages.HoldingsQuery(self.partition)
            self._out.append(actions.SendMessage(sender, query))

    def progress(self, message: messages.GrantProgress) -> None:
        """Learn from the first token of an attempt."""
        grant = self.table.get(message.attempt_id)
        if grant is None or grant.ttft_ms is not None:
            return
        grant.ttft_ms = message.ttft_ms
        for target in self._targets_of(grant):
            target.first_token(
                grant.attempt_id,
                message.ttft_ms,
                grant.predicted_ttft_ms,
                self._state.now_ms,
            )

    def release(self, message: messages.GrantRelease, sender: str) -> None:
        """End a grant as its holder reports."""
        grant = self.table.get(message.attempt_id)
        if grant is None or grant.holder != sender:
            return
        now_ms = self._state.now_ms
        if message.outcome == 'finished':
            self._learn_end(grant, message)
        for target in self._targets_of(grant):
            if message.outcome == 'not_run':
                target.back_off(now_ms)
            elif message.outcome == 'target_lost':
                self._crashes.target_lost(target, grant)
        self._end_grant(grant, message.outcome)

    def find(self, request_id: str, asker: str) -> None:
        """Hand a running grant over to the host that asks for it."""
        grant = self.table.of_request(request_id)
        if grant is None:
            reply = messages.FindReply(self.partition, request_id, found=False)
        else:
            grant.holder = asker
            grant.expires_ms = self._lease_end_ms()
            reply = messages.FindReply(
                self.partition,
                request_id,
                found=True,
                attempt_id=grant.attempt_id,
                targets=grant.targets,
                remaining_ms=grant.deadline_ms - self._state.now_ms,
            )
        self._out.append(actions.SendMessage(asker, reply))

    def adopt(self, holdings: tuple[records.Holding, ...], sender: str) -> None:
        """Take over grants that the previous owner gave."""
        self.adoption.answered.add(sender)
        for holding in holdings:
            if holding.attempt_id not in self.table.grants_by_attempt:
                self._adopt(holding, sender)

    def report(self, report: records.LoadReport) -> None:
        """Reconcile the bookkeeping with a load report."""
        target = self.targets_by_name.get(report.target)
        if target is None:
            return
        target.reported_leaving = report.leaving
        findings = target.reconcile(report, self._state.now_ms)
        if findings is None:
            return
        if findings.restarted:
            self._restarted(target, findings.dead)
        cancels = list(findings.cancel)
        if self.adoption.complete and self.adoption.certain:
            cancels.extend(sorted(target.occupancy.orphans))
        for attempt_id in cancels:
            self._out.append(actions.CancelAttempt(target.name, attempt_id))
        self._deny_without_targets()

    def prefixes(self, event: events.PrefixesReported) -> None:
        """Update the digest of cached prefixes."""
        target = self.targets_by_name.get(event.target)
        if target is not None:
            target.prefixes.apply(event.sequence, event.added, event.removed)

    def tick(self) -> None:
        """Expire leases, deny late requests and refresh the summary."""
        self._out.extend(self.adoption.ask_again())
        for grant in self.table.expired(self._state.now_ms):
            self._end_grant(grant, 'expired')
        self.admission.check_deadlines()
        if self._state.now_ms - self._load_ms >= LOAD_INTERVAL_MS:
            self._load_ms = self._state.now_ms
            load = self.admission.load()
            self._state.own_loads_by_partition[self.partition] = load

    def _deny_moved(self, request_id: str, asker: str, until_ms: int) -> None:
        retry_after_ms = max(until_ms - self._state.now_ms, 0)
        self._out.append(
            grants.denial(
                self.partition, asker, request_id, 'in_progress', retry_after_ms
            )
        )

    def _grant(
        self, waiting: grants.Waiting, placement: assignments.Placement
    ) -> None:
        now_ms = self._state.now_ms
        granted = tuple(
            records.GrantedTarget(
                entry.target.name,
                entry.target.info.address,
                entry.need.prompt_tokens,
            )
            for entry in placement.assignments
        )
        attempt_id = self._state.new_id()
        grant = grants.Grant(attempt_id, waiting, granted, now_ms)
        grant.predicted_ttft_ms = placement.predicted_ttft_ms
        for entry in placement.assignments:
            entry.target.occupy(attempt_id, entry.need, now_ms, prefill=True)
        self._add_grant(grant)
        self._out.append(grants.grant_reply(self.partition, grant))

    def _add_grant(self, grant: grants.Grant) -> None:
        grant.expires_ms = self._lease_end_ms()
        self.table.add(grant)
        self.admission.placer.grant_started(grant)

    def _adopt(self, holding: records.Holding, sender: str) -> None:
        grant, needs = adoption.grant_of_holding(
            self.partition, holding, sender, self._state
        )
        for entry, need in zip(grant.targets, needs, strict=True):
            target = self.targets_by_name.get(entry.name)
            if target is not None:
                target.occupy(
                    grant.attempt_id,
                    need,
                    self._state.now_ms,
                    prefill=not holding.first_token_seen,
                )
        self._add_grant(grant)

    def _learn_end(
        self, grant: grants.Grant, message: messages.GrantRelease
    ) -> None:
        now_ms = self._state.now_ms
        if grant.suspect:
            self._blame.clear(grant.request.fingerprint, now_ms)
        self.admission.forecast.learn_output(
            message.output_tokens, grant.request.max_output_tokens
        )
        # The other targets of a group have finished no attempt.
        target = self.targets_by_name.get(grant.targets[0].name)
        if target is not None:
            target.learn_end(grant, message, now_ms)

    def _targets_of(self, grant: grants.Grant) -> list[targetstate.TargetState]:
        return [
            self.targets_by_name[entry.name]
            for entry in grant.targets
            if entry.name in self.targets_by_name
        ]

    def _lease_end_ms(self) -> int:
        return self._state.now_ms + self._state.settings.timing.grant_lease_ms

    def _end_grant(self, grant: grants.Grant, outcome: str) -> None:
        """Free a grant's memory, now or when a report shows it gone."""
        self.table.remove(grant)
        self.admission.placer.grant_ended(grant)
        now_ms = self._state.now_ms
        # Targets of a group keep their segment until it is cancelled.
        kept = len(grant.targets) > 1 and outcome not in UNSENT_OUTCOMES
        for target in self._targets_of(grant):
            if outcome in CERTAIN_OUTCOMES and not kept:
                target.free(grant.attempt_id, now_ms)
                continue
            target.end(grant.attempt_id, now_ms)
            self._out.append(
                actions.CancelAttempt(target.name, grant.attempt_id)
            )

    def _restarted(
        self, target: targetstate.TargetState, dead: tuple[str, ...]
    ) -> None:
        """End the attempts that a restart has killed."""
        self._crashes.blame_running(target, dead)
        for attempt_id in dead:
            grant = self.table.get(attempt_id)
            if grant is not None:
                self._end_grant(grant, 'target_lost')
            target.free(attempt_id, self._state.now_ms)

    def _forget_target(self, name: str) -> None:
        self.targets_by_name.pop(name)
        self._out.append(actions.UnwatchTarget(name))

    def _deny_without_targets(self) -> None:
        if not any(
            not target.leaving for target in self.targets_by_name.values()
        ):
            self.admission.deny_all('no_target')
