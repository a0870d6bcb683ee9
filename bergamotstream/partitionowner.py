"""
Partition owner
~~~~~~~~~~~~~~~

The grants of one target partition: their leases, how they end, and the targets
they occupy. The code reads no clock and does no I/O; it returns actions.
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
    quarantine,
    records,
    state,
    targetplacement,
    targetstate,
)

# Outcomes after which the target certainly holds no memory of the attempt.
FREED_OUTCOMES = frozenset(('finished', 'not_run', 'unused'))
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
        blame_scores: quarantine.Quarantine,
    ) -> None:
        """Start without targets and grants."""
        self.partition = partition
        self.service = service
        self.targets_by_name: dict[str, targetstate.TargetState] = {}
        self.grant_table = granttable.GrantTable()
        self.adoption = adoption.Adoption(partition, shared)
        self.admission = admission.Admission(
            partition, shared, service, self.targets_by_name, blame_scores
        )
        self._state = shared
        self._quarantine = blame_scores
        self._crashes = crashes.CrashTracker(
            shared, self.grant_table, blame_scores
        )
        self._load_updated_ms = shared.now_ms - LOAD_INTERVAL_MS
        self._pending_actions: list[actions.Action] = []

    def pop_actions(self) -> list[actions.Action]:
        """Grant what is possible; return and clear the pending actions."""
        if self.adoption.complete:
            self.admission.grant_waiting(self._grant)
        self._pending_actions.extend(self.admission.pop_denials())
        taken = self._pending_actions
        self._pending_actions = []
        return taken

    def update_targets(
        self, listed: dict[str, records.TargetInfo], leaving: frozenset[str]
    ) -> None:
        """Apply the host list and the bundle."""
        for name in list(self.targets_by_name):
            if name not in listed:
                self._remove_target(name)
        for info in listed.values():
            target = self.targets_by_name.get(info.name)
            if target is None:
                target = targetstate.TargetState(
                    info, self.service, self._state.now_ms
                )
                self.targets_by_name[info.name] = target
                self._pending_actions.append(actions.WatchTarget(info))
            target.info = info
            target.leaving_by_operator = info.name in leaving
        self.admission.placer.refresh()
        self._deny_without_targets()

    def close(self) -> None:
        """Stop watching the targets and deny the waiting requests.

        The next owner queries the holders for the grants.
        """
        for name in self.targets_by_name:
            self._pending_actions.append(actions.UnwatchTarget(name))
        self.admission.deny_all('no_owner')

    def take_over(self, previous: 'PartitionOwner') -> None:
        """Take over the waiting requests and watches of ``previous``."""
        watched = [
            actions.WatchTarget(target.info)
            for target in previous.targets_by_name.values()
        ]
        self._pending_actions = [
            action for action in self._pending_actions if action not in watched
        ]
        for waiting in previous.admission.waiting_by_request.values():
            self.admission.submit(waiting)
        previous.admission.waiting_by_request.clear()

    def request(
        self, message: messages.GrantRequest, accepting_host: str
    ) -> None:
        """Queue a request, or send the grant that it already has."""
        request_id = message.request.request_id
        grant = self.grant_table.get_by_request(request_id)
        if grant is not None and grant.holder != accepting_host:
            # Another host has resumed the request; the earlier holder must not
            # reclaim it after a pause.
            self._deny_moved(request_id, accepting_host, grant.expires_ms)
            return
        if grant is not None:
            names = {target.name for target in grant.targets}
            if names.isdisjoint(message.excluded_targets):
                grant.asked_ms = message.sent_ms
                grant.expires_ms = self._lease_end_ms()
                self._pending_actions.append(
                    grants.grant_reply(self.partition, grant)
                )
                return
            self._end_grant(grant, 'failed')
        queued = self.admission.waiting_by_request.get(request_id)
        if queued is not None:
            if queued.accepting_host != accepting_host:
                self._deny_moved(
                    request_id, queued.accepting_host, queued.deadline_ms
                )
            queued.accepting_host = accepting_host
            queued.asked_ms = message.sent_ms
            queued.excluded = frozenset(message.excluded_targets)
            return
        waiting = grants.WaitingRequest(
            message, accepting_host, self._state.now_ms
        )
        self.admission.submit(waiting)

    def renew(self, attempt_id: str, sender: str) -> None:
        """Extend a lease, or reply that the sender does not hold it.

        If the sender may hold grants that are not adopted yet, they are
        queried instead.
        """
        grant = self.grant_table.get(attempt_id)
        if grant is not None:
            if grant.holder == sender:
                grant.expires_ms = self._lease_end_ms()
                return
            moved = messages.GrantExpired(
                self.partition, attempt_id, moved=True
            )
            self._pending_actions.append(actions.SendMessage(sender, moved))
            return
        if (
            sender in self.adoption.answered_hosts
            or self.adoption.holders_known
        ):
            expired = messages.GrantExpired(self.partition, attempt_id)
            self._pending_actions.append(actions.SendMessage(sender, expired))
        else:
            query = messages.HoldingsQuery(self.partition)
            self._pending_actions.append(actions.SendMessage(sender, query))

    def record_first_token(self, message: messages.GrantProgress) -> None:
        """Update the estimates from the first token of an attempt."""
        grant = self.grant_table.get(message.attempt_id)
        if grant is None or grant.ttft_ms is not None:
            return
        grant.ttft_ms = message.ttft_ms
        for target in self._targets_of(grant):
            target.observe_first_token(
                grant.attempt_id,
                message.ttft_ms,
                grant.predicted_ttft_ms,
                self._state.now_ms,
            )

    def release(self, message: messages.GrantRelease, sender: str) -> None:
        """End a grant with the outcome that its holder reports."""
        grant = self.grant_table.get(message.attempt_id)
        if grant is None or grant.holder != sender:
            return
        now_ms = self._state.now_ms
        if message.outcome == 'finished':
            self._observe_finish(grant, message)
        for target in self._targets_of(grant):
            if message.outcome == 'not_run':
                target.back_off(now_ms)
            elif message.outcome == 'target_lost':
                self._crashes.handle_target_lost(target, grant)
        self._end_grant(grant, message.outcome)

    def find(self, request_id: str, resuming_host: str) -> None:
        """Transfer a grant to the host that resumes its request."""
        grant = self.grant_table.get_by_request(request_id)
        if grant is None:
            reply = messages.FindReply(self.partition, request_id, found=False)
        else:
            grant.holder = resuming_host
            grant.expires_ms = self._lease_end_ms()
            reply = messages.FindReply(
                self.partition,
                request_id,
                found=True,
                attempt_id=grant.attempt_id,
                targets=grant.targets,
                remaining_ms=grant.deadline_ms - self._state.now_ms,
            )
        self._pending_actions.append(actions.SendMessage(resuming_host, reply))

    def adopt(self, holdings: tuple[records.Holding, ...], sender: str) -> None:
        """Adopt grants that the previous owner issued."""
        self.adoption.answered_hosts.add(sender)
        for holding in holdings:
            if holding.attempt_id not in self.grant_table.grants_by_attempt:
                self._adopt(holding, sender)

    def reconcile_report(self, report: records.LoadReport) -> None:
        """Reconcile the bookkeeping with a load report."""
        target = self.targets_by_name.get(report.target)
        if target is None:
            return
        target.reported_leaving = report.leaving
        reconciliation = target.reconcile(report, self._state.now_ms)
        if reconciliation is None:
            return
        if reconciliation.restarted:
            self._handle_restart(target, reconciliation.lost_attempts)
        cancels = list(reconciliation.cancel)
        if self.adoption.complete and self.adoption.holders_known:
            cancels.extend(sorted(target.occupancy.orphans))
        for attempt_id in cancels:
            self._pending_actions.append(
                actions.CancelAttempt(target.name, attempt_id)
            )
        self._deny_without_targets()

    def update_prefixes(self, event: events.PrefixesReported) -> None:
        """Update the digest of cached prefixes."""
        target = self.targets_by_name.get(event.target)
        if target is not None:
            target.prefixes.apply_events(
                event.sequence, event.added, event.removed
            )

    def tick(self) -> None:
        """Expire leases, deny late requests and refresh the load summary."""
        self._pending_actions.extend(self.adoption.retry_query())
        for grant in self.grant_table.expired(self._state.now_ms):
            self._end_grant(grant, 'expired')
        self.admission.check_deadlines()
        if self._state.now_ms - self._load_updated_ms >= LOAD_INTERVAL_MS:
            self._load_updated_ms = self._state.now_ms
            load = self.admission.load_summary()
            self._state.own_loads_by_partition[self.partition] = load

    def _deny_moved(
        self, request_id: str, accepting_host: str, until_ms: int
    ) -> None:
        retry_after_ms = max(until_ms - self._state.now_ms, 0)
        self._pending_actions.append(
            grants.denial(
                self.partition,
                accepting_host,
                request_id,
                'in_progress',
                retry_after_ms,
            )
        )

    def _grant(
        self, waiting: grants.WaitingRequest, placement: assignments.Placement
    ) -> None:
        now_ms = self._state.now_ms
        granted = tuple(
            records.GrantedTarget(
                entry.target.name,
                entry.target.info.address,
                entry.requirement.prompt_tokens,
            )
            for entry in placement.assignments
        )
        attempt_id = self._state.new_id()
        grant = grants.Grant(attempt_id, waiting, granted, now_ms)
        grant.predicted_ttft_ms = placement.predicted_ttft_ms
        for entry in placement.assignments:
            entry.target.occupy(
                attempt_id, entry.requirement, now_ms, prefill=True
            )
        self._add_grant(grant)
        self._pending_actions.append(grants.grant_reply(self.partition, grant))

    def _add_grant(self, grant: grants.Grant) -> None:
        grant.expires_ms = self._lease_end_ms()
        self.grant_table.add(grant)
        self.admission.placer.grant_started(grant)

    def _adopt(self, holding: records.Holding, sender: str) -> None:
        grant, requirements = adoption.grant_of_holding(
            self.partition, holding, sender, self._state
        )
        for entry, requirement in zip(grant.targets, requirements, strict=True):
            target = self.targets_by_name.get(entry.name)
            if target is not None:
                target.occupy(
                    grant.attempt_id,
                    requirement,
                    self._state.now_ms,
                    prefill=not holding.first_token_seen,
                )
        self._add_grant(grant)

    def _observe_finish(
        self, grant: grants.Grant, message: messages.GrantRelease
    ) -> None:
        now_ms = self._state.now_ms
        if grant.suspect:
            self._quarantine.clear(grant.request.fingerprint, now_ms)
        self.admission.forecast.learn_output(
            message.output_tokens, grant.request.max_output_tokens
        )
        # The other targets of a group have not finished an attempt.
        target = self.targets_by_name.get(grant.targets[0].name)
        if target is not None:
            target.observe_finish(grant, message, now_ms)

    def _targets_of(self, grant: grants.Grant) -> list[targetstate.TargetState]:
        return [
            self.targets_by_name[entry.name]
            for entry in grant.targets
            if entry.name in self.targets_by_name
        ]

    def _lease_end_ms(self) -> int:
        return self._state.now_ms + self._state.settings.timing.grant_lease_ms

    def _end_grant(self, grant: grants.Grant, outcome: str) -> None:
        """Free a grant's memory at once, or after a report without it."""
        self.grant_table.remove(grant)
        self.admission.placer.grant_ended(grant)
        now_ms = self._state.now_ms
        # Targets of a group keep their prompt part until it is cancelled.
        keeps_memory = len(grant.targets) > 1 and outcome not in UNSENT_OUTCOMES
        for target in self._targets_of(grant):
            if outcome in FREED_OUTCOMES and not keeps_memory:
                target.free(grant.attempt_id, now_ms)
                continue
            target.end(grant.attempt_id, now_ms)
            self._pending_actions.append(
                actions.CancelAttempt(target.name, grant.attempt_id)
            )

    def _handle_restart(
        self, target: targetstate.TargetState, lost_attempts: tuple[str, ...]
    ) -> None:
        """End the attempts that were lost in a restart."""
        self._crashes.blame_running(target, lost_attempts)
        for attempt_id in lost_attempts:
            grant = self.grant_table.get(attempt_id)
            if grant is not None:
                self._end_grant(grant, 'target_lost')
            target.free(attempt_id, self._state.now_ms)

    def _remove_target(self, name: str) -> None:
        self.targets_by_name.pop(name)
        self._pending_actions.append(actions.UnwatchTarget(name))

    def _deny_without_targets(self) -> None:
        if not any(
            not target.leaving for target in self.targets_by_name.values()
        ):
            self.admission.deny_all('no_target')
