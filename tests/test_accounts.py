"""Workspace limits at the owner of an account partition."""

import corekit

from bergamotstream import events, messages, partitions

PARTITION = partitions.accounts_partition('small', 16)


def start_owner():
    """Return a host that owns the account partition and accepts charges."""
    host = corekit.Host()
    host.core.state.owned_partitions.add(PARTITION)
    host.send(events.PartitionAcquired(PARTITION))
    host.now_ms += 500
    return host


def charge(host, number, tokens=10, sender='h2'):
    """Charge a request and return the reply."""
    request = messages.ChargeRequest(PARTITION, f'r{number}', 'small', tokens)
    produced = host.receive(request, sender=sender)
    return corekit.messages_of(produced, messages.ChargeReply)[0]


def test_concurrency_holds_over_all_hosts():
    """Guards against a limit that each host counts for itself."""
    host = start_owner()
    replies = [
        charge(host, number, sender=f'h{number + 2}') for number in range(6)
    ]
    assert [reply.granted for reply in replies] == [True] * 4 + [False] * 2
    assert replies[4].code == 'limit_reached'
    assert replies[4].retry_after_ms > 0


def test_repeated_charge_counts_once():
    """Guards against a charge that is counted twice after a lost reply."""
    host = start_owner()
    assert all(charge(host, 1).granted for _ in range(9))
    assert charge(host, 2).granted


def test_token_rate_goes_into_debt_once():
    """Guards against a large prompt that can never run or runs too often."""
    host = start_owner()
    assert charge(host, 1, tokens=1_000_000).granted
    denied = charge(host, 2)
    assert not denied.granted
    host.now_ms += denied.retry_after_ms
    assert charge(host, 2).granted


def test_new_owner_counts_what_hosts_report():
    """Guards against a limit that starts from zero after a takeover."""
    host = corekit.Host()
    host.core.state.owned_partitions.add(PARTITION)
    host.send(events.PartitionAcquired(PARTITION))
    charges = tuple(
        messages.ChargeRequest(PARTITION, f'x{number}', 'small', 5)
        for number in range(4)
    )
    host.receive(messages.HoldingsReply(PARTITION, (), charges))
    host.now_ms += 500
    assert not charge(host, 1).granted


def test_charges_of_a_dead_host_end():
    """Guards against a workspace that stays full after a host died."""
    host = start_owner()
    for number in range(4):
        charge(host, number, sender='h9')
    host.send(events.Tick(), 6_000)
    assert charge(host, 9).granted
