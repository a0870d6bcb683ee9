"""
Request state
~~~~~~~~~~~~~

The state of one caller's request, and of its tries at targets and peers.
"""

from bergamotstream.forwarding import (
    calleranswer,
    continuations,
    dispatch,
    exchangerecords,
    runningtries,
)

# What became of a try; anything else is the class of its fault.
OPEN = 'open'
SILENT = 'silent'
SERVED = 'served'
SUPERSEDED = 'superseded'
ABANDONED = 'abandoned'


class RequestState:
    """One request and the progress of its tries."""

    def __init__(
        self,
        job: exchangerecords.Job,
        body: bytes,
        answer: calleranswer.CallerAnswer,
    ) -> None:
        """Start with nothing sent."""
        self.job = job
        self.body = body
        self.answer = answer
        self.tries: list[Try] = []
        self.running: runningtries.RunningTries[Try] = (
            runningtries.RunningTries()
        )
        # Tries that another host has made before it sent the request here.
        self.relayed_tries = 0
        self.tries_unsent = 0
        self.tried_target_ids: set[str] = set()
        # Those of them that may have received the request.
        self.reached_target_ids: set[str] = set()
        # The last failure that a target answered.
        self.failure_answer: dispatch.BufferedAnswer | None = None
        self.passed = continuations.PassedEvents()
        self.last_event_id = job.request.last_event_id
        self.forecast_ms = float(0)
        self.first_byte_ms = 0
        self.longest_gap_ms = 0
        # The peer that has sent the request, and peers that were sent it.
        self.relayed_by = ''
        self.tried_peers: set[str] = set()
        # Whether the retry budget counts the request, here or at the sender.
        self.is_counted = False
        # Whether no target can be tried over the links of this host.
        self.is_out_of_targets = False

    @property
    def tries_sent(self) -> int:
        """Return the tries that count against the route's limit."""
        return self.relayed_tries + sum(entry.is_sent for entry in self.tries)

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request."""
        return any(entry.may_have_run for entry in self.tries)

    @property
    def is_silent(self) -> bool:
        """Tell whether no try runs that has sent something lately."""
        return all(entry.is_silent for entry in self.running)

    def add_try(self) -> 'Try':
        """Return a new try."""
        added = Try(self)
        self.tries.append(added)
        return added

    def use_only(self, winner: 'Try') -> None:
        """Give the caller the answer of one try and end the others."""
        winner.outcome = SERVED
        for other in self.running.cancel_others(winner):
            other.outcome = SUPERSEDED


class Try:
    """One sending of a request to a target or to a peer."""

    def __init__(self, request: RequestState) -> None:
        """Start with nothing sent."""
        self.request = request
        # The target, or the peer that chooses one.
        self.destination = ''
        self.outcome = OPEN
        # Whether it has reached a target, or may have.
        self.is_sent = False
        self.may_have_run = False
        # Whether it waits for the head of its answer, and the events that it
        # has received.
        self.is_unanswered = False
        self.events = 0
        # Whether it has received enough of them to clear its parts.
        self.is_written = False
        # Whether it has sent nothing for longer than its limit.
        self.is_silent = False
        # Whether its target is suspected of a crash.
        self.is_suspected = False
        self.recent_gaps_ms: list[int] = []

    @property
    def job(self) -> exchangerecords.Job:
        """Return the job of the request."""
        return self.request.job

    def mark_sent(self) -> None:
        """Note that a target may get the request from now on."""
        self.is_sent = True
        self.may_have_run = True

    def mark_not_run(self, *, is_sent: bool) -> None:
        """Note that no target runs the request; one may have refused it."""
        self.is_sent = is_sent
        self.may_have_run = False

    def suspects(self) -> tuple[int, ...]:
        """Return the fingerprints that a crash of this try may come from."""
        if self.is_written:
            return (self.job.fingerprint,)
        return self.job.fingerprints

    def summary(self) -> str:
        """Return where the try was sent and what became of it."""
        return f'{self.destination}:{self.outcome}'
