"""
Rules of claims
~~~~~~~~~~~~~~~

Decides how the owner answers a claim, given the logged state of its key, and
builds the answers.
"""

from bergamotstream import actions, claimbatch, claimformat, messages

# A key dated in the future would stay valid after its entry is dropped. With
# this limit, two hosts' wall clocks may each differ by 45 s:
# 480 + 30 + 2 * 45 s = the retention of 600 s.
MAX_FUTURE_KEY_MS = 30_000

PendingMessage = claimbatch.PendingEntry | claimbatch.DeferredMessage


def age_allowed(message: messages.ClaimRequest, limit_ms: int) -> bool:
    """Return whether the entry of a key cannot have been dropped yet."""
    return -MAX_FUTURE_KEY_MS <= message.key_age_ms <= limit_ms


def may_claim(known: claimformat.Entry, message: messages.ClaimRequest) -> bool:
    """Return whether a known key is free: abandoned, with the same body."""
    is_same_body = known.body_digest == message.body_digest
    return is_same_body and known.state == 'abandoned'


def answer_known(
    known: claimformat.Entry,
    message: messages.ClaimRequest,
    sender: str,
    live_hosts: set[str],
) -> actions.SendMessage:
    """Answer a claim of a key that already has an entry."""
    if known.body_digest != message.body_digest:
        return reply(sender, message, 'conflict')
    if known.state == 'ran' and known.answer is not None:
        return reply(sender, message, 'recorded', recorded=known.answer)
    if known.state == 'claimed':
        if known.claim_id == message.claim_id:
            return reply(sender, message, 'claimed')
        # A live host that holds the claim may still run the request.
        if known.host in live_hosts:
            return reply(sender, message, 'in_progress')
    return reply(sender, message, 'may_have_run')


def reply(
    host: str,
    message: messages.ClaimRequest,
    outcome: messages.ClaimOutcome,
    retry_after_ms: int = 0,
    recorded: bytes = b'',
) -> actions.SendMessage:
    """Return the answer to a claim."""
    answer = messages.ClaimReply(
        message.partition, message.claim_id, outcome, recorded, retry_after_ms
    )
    return actions.SendMessage(host, answer)


def acknowledge(
    host: str, message: messages.OutcomeReport
) -> actions.SendMessage:
    """Return the confirmation that an outcome is recorded."""
    acknowledged = messages.OutcomeAck(message.partition, message.claim_id)
    return actions.SendMessage(host, acknowledged)


def refuse(
    pending: PendingMessage, retry_after_ms: int
) -> list[actions.Action]:
    """Refuse a claim that was certainly not written.

    Outcomes get no answer; the host that sent one repeats it until it is
    acknowledged.
    """
    if isinstance(pending.message, messages.OutcomeReport):
        return []
    return [
        reply(pending.sender, pending.message, 'unavailable', retry_after_ms)
    ]


def answer_written(
    pending: claimbatch.PendingEntry,
    result: claimbatch.WriteResult,
    retry_ms: int,
) -> list[actions.Action]:
    """Answer a claim or outcome after the write of its segment."""
    message = pending.message
    if result is claimbatch.WriteResult.WRITTEN:
        if isinstance(message, messages.OutcomeReport):
            return [acknowledge(pending.sender, message)]
        return [reply(pending.sender, message, 'claimed')]
    if result is claimbatch.WriteResult.UNCERTAIN:
        if isinstance(message, messages.ClaimRequest):
            return [reply(pending.sender, message, 'may_have_run')]
    return refuse(pending, retry_ms)
