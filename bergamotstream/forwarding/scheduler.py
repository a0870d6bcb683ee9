"""
Scheduler
~~~~~~~~~

The decisions of one host: whether a request is admitted, where it is placed
and whether it may be retried. The scheduler holds the state for these
decisions and does no input or output; times are given in milliseconds.
"""

import random
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
)
from typing import Final, NamedTuple

import xxhash

from bergamotstream import errors
from bergamotstream.forwarding import (
    askedpauses,
    cells,
    coldlimits,
    commitments,
    crashblame,
    exchangerecords,
    fingerprints,
    fleetrecords,
    fleetview,
    heldbytes,
    hostsettings,
    links,
    namedlimits,
    placement,
    reach,
    rendezvous,
    requesttimes,
    retrybudget,
    routing,
    targethealth,
    targetpace,
)
from bergamotstream.forwarding.waiting import shares

# Value of an answer token in prompt tokens: decoding a token takes about ten
# times as long as its prefill. Source: the operators' statement of benefits.
DECODED_TOKEN_VALUE: Final = 10
TOKENS_PER_VALUE: Final = 16_000
# A prompt of at least one of these sizes ranks behind shorter prompts of the
# same priority.
LONG_PROMPT_TOKENS: Final = (20_000, 120_000)
# Priorities on the wire per priority of the operators, one for each size class.
RANKS_PER_PRIORITY: Final = 3
# Retry delay after a refusal: long enough for a pass of an engine, and random
# so that refused requests are not retried all at once.
RETRY_AFTER_MS: Final = (400, 1_600)
# Retry delay while no target is listed or no configuration is known.
UNAVAILABLE_RETRY_MS: Final = (800, 1_600)
# Answers to requests that arrive within 3 s after the signal may be cut at the
# end of the grace period; source: the platform's rules. This is 3 s less the
# network delay.
ADMIT_AFTER_SHUTDOWN_MS: Final = 2_700
# Share of a route's goal for which a request may wait for a placement.
MAX_WAIT_GOALS: Final = 0.7
# Share of the caller's timeout after which a silent target is abandoned; the
# rest is long enough for a first event from another target.
SILENCE_TIMEOUT_SHARE: Final = 0.6
# Retry delay before a caller tries another host.
LEAVING_RETRY_MS: Final = 50
# Time that it takes to send the final answer at a request's deadline.
ANSWER_MARGIN_MS: Final = 30


class GracefulShutdown(NamedTuple):
    """A graceful shutdown and its times."""

    requested_ms: int
    # Requests that would end later are refused.
    end_ms: int
    # Requests that are open get their final answer.
    answer_ms: int


class Scheduler:
    """Decisions of one host."""

    def __init__(
        self, config: hostsettings.HostSettings, rng: random.Random
    ) -> None:
        """Start with an empty view of the fleet."""
        self.view = fleetview.FleetView()
        self.cells = cells.Cells(config.name, config.zone, self.view)
        self.table = commitments.CommitmentTable()
        self.health = targethealth.TargetHealth()
        self.held = heldbytes.HeldAnswers(config.held_bytes)
        self.held_for_callers = heldbytes.HeldBytes(config.caller_bytes)
        self.cold = coldlimits.ColdLimits()
        self.limits = namedlimits.NamedLimits(config.name)
        self.pauses = askedpauses.AskedPauses(rng)
        self.shares = shares.Shares(
            self.view, self.table, is_enabled=config.features.fair_waiting
        )
        self.pace = targetpace.TargetPace(
            self.table, self.cells, enabled=config.features.target_pacing
        )
        self.budget = retrybudget.RetryBudget(config.bounds)
        self.blame = crashblame.CrashBlame()
        self.links = links.LinkMonitor()
        self.reach = reach.Reach(
            self.view,
            self.cells,
            self.health,
            self.links,
            self.pauses,
            config,
            rng,
        )
        self._config = config
        self._rng = rng
        self._tickets = 0

    def apply_bounds(self, bounds: hostsettings.Bounds) -> None:
        """Decide by changed limits of the operators from now on."""
        self._config = self._config._replace(bounds=bounds)
        self.budget.apply_bounds(bounds)

    def admit(
        self,
        request: exchangerecords.CallerRequest,
        now_ms: int,
        decision: exchangerecords.Decision | None = None,
    ) -> exchangerecords.Job:
        """Return the job of a request, without its fingerprints.

        The service is the one of ``decision`` if the route leads there. Raises
        ``ConfigurationUnknown``, ``UnknownRoute`` or ``UnknownKey``.
        """
        configuration = self.view.configuration
        if configuration is None:
            raise errors.ConfigurationUnknown(
                retry_after_ms=self._jitter(UNAVAILABLE_RETRY_MS)
            )
        route = routing.find_route(
            configuration, request.host_name, request.path
        )
        workspace = routing.find_workspace(configuration, route, request.keys)
        service = self._service_of(configuration, route, decision)
        return make_job(request, route, service, workspace, now_ms)

    def check_outdated(
        self, now_ms: int, are_peers_ahead: Callable[[], bool]
    ) -> None:
        """Raise ``ConfigurationOutdated`` if a newer one is long overdue.

        Not unless most peers have it, so that callers find another host. Its
        document may be on its way, or the store may have lost it.
        """
        limit_ms = self._config.bounds.max_outdated_ms
        pending_ms = _lasted_ms(self.view.outdated_since_ms(), now_ms)
        behind_ms = _lasted_ms(
            self.view.lag.since_ms(self.view.in_force.version), now_ms
        )
        if behind_ms > limit_ms or (
            pending_ms > limit_ms and are_peers_ahead()
        ):
            raise errors.ConfigurationOutdated(
                f'pending_ms={pending_ms} behind_ms={behind_ms}',
                retry_after_ms=LEAVING_RETRY_MS,
            )

    def check_blame(self, job: exchangerecords.Job, now_ms: int) -> None:
        """Raise ``RequestBlamed`` for a request that crashes targets."""
        for fingerprint in job.fingerprints:
            if fingerprint == job.trial_part:
                continue
            if self.blame.is_refused(fingerprint, now_ms):
                crashes = self.blame.counts.crashes_of(fingerprint, now_ms)
                is_part = fingerprints.is_part(fingerprint)
                kind = 'part' if is_part else 'request'
                raise errors.RequestBlamed(
                    f'kind={kind} fingerprint={fingerprint:016x}'
                    f' confirmed={crashes.confirmed}'
                    f' possible={crashes.possible}',
                    retry_after_ms=crashblame.BLAME_MS,
                )

    def start_trial(
        self, job: exchangerecords.Job, now_ms: int
    ) -> exchangerecords.Job:
        """Return the job, as the trial of its blamed part if one is due.

        One host tries each part, so that a trial costs one target.
        """
        refused = [
            fingerprint
            for fingerprint in job.fingerprints
            if self.blame.is_refused(fingerprint, now_ms)
        ]
        if len(refused) != 1:
            return job
        names = {
            self._config.name,
            *self.table.peer_names(),
            *self.view.hosts_by_name,
        }
        if rendezvous.choose(names, str(refused[0]), 1) != [self._config.name]:
            return job
        if not self.blame.start_trial(refused[0], now_ms):
            return job
        return job._replace(trial_part=refused[0])

    def check_shutdown(
        self,
        job: exchangerecords.Job,
        shutdown: GracefulShutdown | None,
        now_ms: int,
        has_other_host: Callable[[], bool],
    ) -> None:
        """Raise ``HostLeaving`` for a job that may outlast the shutdown.

        Callers use a cached answer of the directory for a while. Without
        another host, all jobs are admitted at first.
        """
        if shutdown is None:
            return
        if now_ms + requesttimes.longest_answer_ms(job) < shutdown.end_ms:
            return
        since_ms = now_ms - shutdown.requested_ms
        if since_ms > ADMIT_AFTER_SHUTDOWN_MS or has_other_host():
            raise errors.HostLeaving(retry_after_ms=LEAVING_RETRY_MS)

    def place(
        self,
        job: exchangerecords.Job,
        excluded: Collection[str],
        now_ms: int,
    ) -> exchangerecords.Assignment:
        """Choose the target of one attempt and commit the work to it.

        Raises ``NoTarget``, or ``Overloaded`` for a request that cannot be
        served in time or that would cost other requests more than its value.
        """
        usable = list(self._candidates(job, excluded, now_ms))
        if not usable:
            raise errors.NoTarget(
                self._no_target_detail(job, excluded, now_ms),
                retry_after_ms=self._limited_retry_ms(job, now_ms)
                or self._jitter(UNAVAILABLE_RETRY_MS),
            )
        candidates = self.pace.choose_open(usable, job, now_ms)
        if not candidates:
            raise self._overloaded(f'paced={len(usable)}')
        if job.generation is None or job.service.engine is None:
            return self._place_plain(job, candidates, now_ms)
        # The caller's timeout restarts with each event that it receives.
        end_ms = (
            job.end_ms if excluded else requesttimes.caller_timeout_end_ms(job)
        )
        generation = job.generation._replace(remaining_ms=end_ms - now_ms)
        chosen = placement.choose_placement(
            job.service.engine, generation, candidates
        )
        if chosen is None:
            raise self._overloaded(
                f'no_place left_ms={generation.remaining_ms}'
            )
        if chosen.loss_to_others >= chosen.expected_value and placement.is_busy(
            usable
        ):
            raise self._overloaded(
                f'loss_to_others={chosen.loss_to_others:.2f}'
                f' expected_value={chosen.expected_value:.2f}'
            )
        finish_ms = chosen.first_token_ms + requesttimes.shortest_decode_ms(job)
        if not excluded and now_ms + finish_ms > job.end_ms:
            raise self._overloaded(
                f'finish_ms={finish_ms:.0f} left_ms={job.end_ms - now_ms}'
            )
        return self._commit(job, chosen, now_ms)

    def _overloaded(self, detail: str) -> errors.ServiceError:
        return errors.Overloaded(
            detail, retry_after_ms=self._jitter(RETRY_AFTER_MS)
        )

    def may_wait(self, job: exchangerecords.Job, now_ms: int) -> bool:
        """Tell whether a job may wait for a placement during overload.

        Long prompts come in bursts that last seconds, and a caller retries
        only once. A first token within the goal still yields the full value;
        waiting for longer gains nothing.
        """
        return now_ms - job.arrived_ms < job.route.goal_ms * MAX_WAIT_GOALS

    def may_retry(
        self, job: exchangerecords.Job, sent: int, now_ms: int
    ) -> bool:
        """Tell whether a job may be sent to one more target."""
        if sent >= job.route.max_targets or now_ms >= job.end_ms:
            return False
        if sent and job.trial_part:
            return False
        return self.budget.try_acquire(job.service.name, now_ms)

    def has_target(
        self, job: exchangerecords.Job, excluded: Collection[str], now_ms: int
    ) -> bool:
        """Tell whether a target is usable for one more attempt."""
        usable = self._usable_targets(job, excluded, now_ms)
        return next(usable, None) is not None

    def silence_limit_ms(
        self, job: exchangerecords.Job, now_ms: int
    ) -> int | None:
        """Return the silence of a target after which another one is tried.

        ``None`` for a request that may run only once. The limit covers targets
        that hang or vanish with their connections open, whose requests would
        be lost when the callers time out.
        """
        if job.route.retry_policy is fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN:
            return None
        if job.generation is None:
            return round((job.end_ms - now_ms) * SILENCE_TIMEOUT_SHARE)
        return round(
            requesttimes.caller_timeout_ms(job.route) * SILENCE_TIMEOUT_SHARE
        )

    def retry_after_ms(self) -> int:
        """Return a retry delay for a request that has not run."""
        return self._jitter(RETRY_AFTER_MS)

    def refused_retry_ms(self, job: exchangerecords.Job, now_ms: int) -> int:
        """Return a retry delay for a request that targets have refused."""
        return self._limited_retry_ms(job, now_ms) or self.retry_after_ms()

    def start_decoding(self, assignment: exchangerecords.Assignment) -> None:
        """Record the first token, which shows that all prefill is done."""
        first, *helper_ids = assignment.commitment_ids
        self.table.update(first, prefill_ms=float(0), decoding=True)
        for commitment_id in helper_ids:
            self.table.update(commitment_id, prefill_ms=float(0))
        self._end_commitments(helper_ids[len(assignment.reservations) :])

    def release(self, assignment: exchangerecords.Assignment) -> None:
        """End the commitments of an attempt."""
        self._end_commitments(assignment.commitment_ids)

    def _service_of(
        self,
        configuration: fleetrecords.Configuration,
        route: fleetrecords.Route,
        decision: exchangerecords.Decision | None,
    ) -> fleetrecords.Service:
        name = routing.choose_service(route, self._rng)
        shared = {share.service for share in route.shares}
        if decision is not None and decision.service in shared:
            name = decision.service
        service = configuration.services_by_name.get(name)
        if service is None:
            raise errors.NoTarget(
                name, retry_after_ms=self._jitter(UNAVAILABLE_RETRY_MS)
            )
        return service

    def _candidates(
        self,
        job: exchangerecords.Job,
        excluded: Collection[str],
        now_ms: int,
    ) -> Iterator[placement.Candidate]:
        loads = self.table.loads(now_ms)
        for entry in self._usable_targets(job, excluded, now_ms):
            target_id = entry.target_id
            estimate = self.health.estimate_of(target_id, now_ms)
            yield placement.Candidate(
                entry,
                loads.get(target_id, commitments.IDLE),
                estimate.slowness,
                estimate.failure_rate,
                entry.zone == self._config.zone,
                self.limits.limit_of(entry) is None,
                self._rng.random(),
            )

    def _usable_targets(
        self, job: exchangerecords.Job, excluded: Collection[str], now_ms: int
    ) -> Iterator[fleetrecords.TargetEntry]:
        for entry in self.view.targets_by_id.values():
            if entry.target_id not in excluded and self._may_use(
                job, entry, now_ms
            ):
                yield entry

    def _may_use(
        self,
        job: exchangerecords.Job,
        entry: fleetrecords.TargetEntry,
        now_ms: int,
    ) -> bool:
        target_id = entry.target_id
        return (
            self.view.is_usable(entry, job.service.name)
            and self.cells.serves(entry)
            and self.health.is_reachable(target_id, now_ms)
            and self._is_warm(entry, job.service, now_ms)
            and self._limit_wait_ms(entry, now_ms) == 0
        )

    def _is_warm(
        self,
        entry: fleetrecords.TargetEntry,
        service: fleetrecords.Service,
        now_ms: int,
    ) -> bool:
        """Tell whether a target is not cold, or has room for one request."""
        if not self.cold.is_limited(entry.target_id, service, now_ms):
            return True
        return (
            self.cells.owns(entry)
            and self._config.name
            in coldlimits.senders(entry, service, self.cells.members)
            and self.cold.may_send(entry.target_id, service, now_ms)
        )

    def _limit_wait_ms(
        self, entry: fleetrecords.TargetEntry, now_ms: int
    ) -> int | None:
        """Return the time until the limits of a target allow a request.

        ``None`` if only other hosts send to it.
        """
        if self.limits.limit_of(entry) is not None and not self.cells.owns(
            entry
        ):
            return None
        wait_ms = self.limits.wait_ms(entry, self.table.peer_names(), now_ms)
        if wait_ms is None:
            return None
        return max(wait_ms, self.pauses.wait_ms(entry, now_ms))

    def _limited_retry_ms(
        self, job: exchangerecords.Job, now_ms: int
    ) -> int | None:
        """Return a retry delay after which a limited target may have room.

        ``None`` if not all targets of the service are at their limits.
        """
        waits_ms = [
            self._limit_wait_ms(entry, now_ms)
            for entry in self.view.targets_by_id.values()
            if self.view.is_usable(entry, job.service.name)
            and self.cells.serves(entry)
        ]
        known_ms = [wait_ms for wait_ms in waits_ms if wait_ms is not None]
        if not known_ms or 0 in known_ms:
            return None
        return min(known_ms) + self._jitter(RETRY_AFTER_MS)

    def _no_target_detail(
        self, job: exchangerecords.Job, excluded: Collection[str], now_ms: int
    ) -> str:
        """Return the targets of the service by the reason of exclusion."""
        listed = [
            entry
            for entry in self.view.targets_by_id.values()
            if entry.service == job.service.name
        ]
        out = sum(entry.zone in self.view.zones_out for entry in listed)
        unreachable = sum(
            not self.health.is_reachable(entry.target_id, now_ms)
            for entry in listed
        )
        by_peers = sum(
            self.health.is_refusing_peers(entry.target_id, now_ms)
            and self.health.is_reachable_here(entry.target_id, now_ms)
            for entry in listed
        )
        asked = sum(self.pauses.is_pausing(entry, now_ms) for entry in listed)
        limited = sum(
            self._limit_wait_ms(entry, now_ms) != 0 for entry in listed
        )
        return ' '.join(
            (
                f'service={job.service.name}',
                f'listed={len(listed)}',
                f'in_cell={sum(map(self.cells.serves, listed))}',
                f'leaving={sum(entry.leaving for entry in listed)}',
                f'zone_out={out}',
                f'unreachable={unreachable}',
                f'by_peers={by_peers}',
                f'limited={limited}',
                f'asked={asked}',
                f'tried={len(excluded)}',
            )
        )

    def _place_plain(
        self,
        job: exchangerecords.Job,
        candidates: list[placement.Candidate],
        now_ms: int,
    ) -> exchangerecords.Assignment:
        candidate = placement.choose_least_loaded(
            self.shares.with_room(job, candidates)
        )
        if candidate is None:
            raise self._overloaded(f'full_targets={len(candidates)}')
        chosen = placement.Placement(
            parts=(placement.PromptPart(candidate.entry, float(0), 0),),
            first_token_ms=float(0),
            cost=float(0),
            expected_value=float(1),
            loss_to_others=float(0),
        )
        return self._commit(job, chosen, now_ms)

    def _commit(
        self,
        job: exchangerecords.Job,
        chosen: placement.Placement,
        now_ms: int,
    ) -> exchangerecords.Assignment:
        ids = tuple(
            self.table.add(commitment)
            for commitment in _commitments(job, chosen, now_ms)
        )
        target, *helpers = [part.entry for part in chosen.parts]
        self.cold.record_sent(target.target_id, now_ms)
        self.limits.record_sent(target, now_ms)
        self.pauses.record_sent(target, now_ms)
        return exchangerecords.Assignment(
            target=target,
            helpers=tuple(helpers),
            reservations=tuple(self._reservations(job, chosen)),
            forecast_ms=chosen.first_token_ms,
            prefill_ms=chosen.parts[0].prefill_ms,
            cost=chosen.cost,
            placed_ms=now_ms,
            commitment_ids=ids,
        )

    def _reservations(
        self, job: exchangerecords.Job, chosen: placement.Placement
    ) -> Iterator[exchangerecords.Reservation]:
        """Yield the memory to reserve; helpers that hold some come first."""
        for part in chosen.parts[1:]:
            if part.held_tokens:
                self._tickets += 1
                ticket = '-'.join(
                    (
                        job.request.attempt_id,
                        self._config.name,
                        str(self._tickets),
                    )
                )
                yield exchangerecords.Reservation(
                    part.entry, ticket, part.held_tokens
                )

    def _end_commitments(self, ids: Iterable[int]) -> None:
        for commitment_id in ids:
            self.table.remove(commitment_id)

    def _jitter(self, bounds_ms: tuple[int, int]) -> int:
        return self._rng.randint(*bounds_ms)


def _lasted_ms(since_ms: int | None, now_ms: int) -> int:
    return 0 if since_ms is None else now_ms - since_ms


def make_job(
    request: exchangerecords.CallerRequest,
    route: fleetrecords.Route,
    service: fleetrecords.Service,
    workspace: fleetrecords.Workspace | None,
    now_ms: int,
) -> exchangerecords.Job:
    """Return the job of a request, without its fingerprints."""
    remaining_ms = route.timeout_ms
    if request.deadline_ms is not None:
        remaining_ms = min(remaining_ms, request.deadline_ms)
    return exchangerecords.Job(
        request=request,
        route=route,
        service=service,
        workspace=workspace,
        priority=_wire_priority(route, workspace, request),
        fingerprint=0,
        parts=(),
        trial_part=0,
        generation=_generation_of(route, service, request, remaining_ms),
        arrived_ms=now_ms,
        end_ms=now_ms + remaining_ms - ANSWER_MARGIN_MS,
    )


def _wire_priority(
    route: fleetrecords.Route,
    workspace: fleetrecords.Workspace | None,
    request: exchangerecords.CallerRequest,
) -> int:
    """Return the wire priority: by operators' priority, then by size."""
    size = sum(request.prompt_tokens >= limit for limit in LONG_PROMPT_TOKENS)
    priority = routing.priority_of(route, workspace)
    return priority * RANKS_PER_PRIORITY + size


def _generation_of(
    route: fleetrecords.Route,
    service: fleetrecords.Service,
    request: exchangerecords.CallerRequest,
    remaining_ms: int,
) -> placement.Generation | None:
    if service.engine is None:
        return None
    answer_tokens = request.length_hint or request.max_answer_tokens
    answer_tokens = answer_tokens or service.engine.usual_answer_tokens
    size = request.prompt_tokens + answer_tokens * DECODED_TOKEN_VALUE
    return placement.Generation(
        prompt_tokens=request.prompt_tokens,
        answer_tokens=answer_tokens,
        goal_ms=route.goal_ms,
        pause_goal_ms=route.pause_goal_ms,
        remaining_ms=remaining_ms,
        value=size / TOKENS_PER_VALUE,
    )


def _commitments(
    job: exchangerecords.Job, chosen: placement.Placement, now_ms: int
) -> Iterator[commitments.Commitment]:
    """Yield the work on each target, starting with the decoding one."""
    generation = job.generation
    request_hash = xxhash.xxh32_intdigest(
        job.request.attempt_id.encode(errors='replace')
    )
    for position, part in enumerate(chosen.parts):
        yield commitments.Commitment(
            target_id=part.entry.target_id,
            placed_ms=now_ms,
            request_hash=request_hash,
            prefill_ms=part.prefill_ms,
            is_part=len(chosen.parts) > 1,
            goal_ms=job.arrived_ms + job.route.goal_ms - now_ms,
            caller_timeout_ms=min(
                requesttimes.caller_timeout_ms(job.route), job.end_ms - now_ms
            ),
            decodes=position == 0,
            decoding=generation is None,
            pause_goal_ms=generation.pause_goal_ms if generation else 0,
            context_tokens=(
                generation.prompt_tokens + generation.answer_tokens
                if generation
                else 0
            ),
            memory_tokens=part.held_tokens,
            value=generation.value if generation else float(1),
            workspace_hash=job.workspace_hash,
        )
