"""
Request state
~~~~~~~~~~~~~

The state of one caller's request while targets are tried.
"""

from bergamotstream.forwarding import (
    calleranswer,
    continuations,
    dispatch,
    exchangerecords,
)


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
        # Tries that reached a target, and tries that reached none.
        self.tries_sent = 0
        self.tries_unsent = 0
        self.may_have_run = False
        # Whether the current try waits for the head of its answer, and the
        # events that it has received.
        self.is_unanswered = False
        self.events_in_try = 0
        # Whether it has received enough of them to clear its parts.
        self.is_written = False
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
        self.recent_gaps_ms: list[int] = []
        # The peer that has sent the request, and peers that were sent it.
        self.relayed_by = ''
        self.tried_peers: set[str] = set()
        # Whether the retry budget counts the request, here or at the sender.
        self.is_counted = False
        # Whether no target can be tried over the links of this host.
        self.is_out_of_targets = False

    def start_try(self) -> None:
        """Reset what is known of the current try."""
        self.is_unanswered = False
        self.events_in_try = 0
        self.is_written = False

    def suspects(self) -> tuple[int, ...]:
        """Return the fingerprints that a crash of this try may come from."""
        if self.is_written:
            return (self.job.fingerprint,)
        return self.job.fingerprints
