"""
Accounts
~~~~~~~~

Enforces the limits of workspaces at the owner of their account partition.
Concurrent requests are counted exactly. The token rate is limited by a token
bucket that may go negative by one request, so that a prompt larger than the
bucket can still run while the long-term rate holds.
"""

from typing import NamedTuple

from bergamotstream import (
    actions,
    components,
    events,
    messages,
    partitions,
    records,
)

MS_PER_S = 1_000
# Capacity of a token bucket in seconds of its refill rate.
BURST_S = 10
RECONCILE_MS = 5_000
RECONCILE_GRACE_MS = 2_000
CONCURRENCY_RETRY_MS = 500


class Charge(NamedTuple):
    """A request that counts towards the limits of its workspace."""

    holder: str
    tokens: int
    since_ms: int


class Account:
    """Concurrency and token rate of one workspace."""

    def __init__(self, config: records.WorkspaceConfig, now_ms: int) -> None:
        """Start with a bucket that is half full.

        A new owner does not know what was used just before it took over.
        """
        self.charges_by_request: dict[str, Charge] = {}
        self.available_tokens = config.tokens_per_s * BURST_S / 2
        self._refilled_ms = now_ms

    def refill(self, config: records.WorkspaceConfig, now_ms: int) -> None:
        """Add the tokens for the time since the last call."""
        elapsed_ms = now_ms - self._refilled_ms
        refilled = config.tokens_per_s * elapsed_ms / MS_PER_S
        capacity = config.tokens_per_s * BURST_S
        self.available_tokens = min(self.available_tokens + refilled, capacity)
        self._refilled_ms = now_ms

    def retry_after_ms(self, config: records.WorkspaceConfig) -> int:
        """Return 0 if a request may run now, else the retry delay."""
        if len(self.charges_by_request) >= config.max_concurrent:
            return CONCURRENCY_RETRY_MS
        if self.available_tokens > 0:
            return 0
        rate = max(config.tokens_per_s, 1)
        return int(-self.available_tokens * MS_PER_S / rate) + 1


class Accounts(components.Component):
    """The account partitions that this host owns."""

    name = 'accounts'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start without accounts."""
        super().__init__(shared)
        self._accounts_by_workspace: dict[str, Account] = {}
        self._ready_ms_by_partition: dict[str, int] = {}
        self._deferred_requests: list[tuple[messages.ChargeRequest, str]] = []
        self._next_reconcile_ms = 0

    @components.handles(events.PartitionAcquired)
    def on_acquired(
        self, event: events.PartitionAcquired
    ) -> components.Actions:
        """Query all live hosts for the charges that they hold."""
        if not event.partition.startswith('accounts:'):
            return []
        wait_ms = self.state.settings.timing.holdings_wait_ms
        self._ready_ms_by_partition[event.partition] = (
            self.state.now_ms + wait_ms
        )
        return self._query_members(event.partition)

    @components.handles(events.PartitionLost)
    def on_lost(self, event: events.PartitionLost) -> components.Actions:
        """Drop the accounts of a partition."""
        self._ready_ms_by_partition.pop(event.partition, None)
        for workspace in list(self._accounts_by_workspace):
            if self._partition(workspace) == event.partition:
                self._accounts_by_workspace.pop(workspace)
        return []

    @components.handles(messages.ChargeRequest)
    def on_charge(
        self, message: messages.ChargeRequest, sender: str
    ) -> components.Actions:
        """Accept or deny a charge; a repeated request is charged once."""
        if not self.state.owns(message.partition):
            return [self._reply(message, sender, code='no_owner')]
        ready_ms = self._ready_ms_by_partition.get(message.partition, 0)
        if self.state.now_ms < ready_ms:
            self._deferred_requests.append((message, sender))
            return []
        return [self._decide_charge(message, sender)]

    @components.handles(messages.ChargeRelease)
    def on_release(
        self, message: messages.ChargeRelease, sender: str
    ) -> components.Actions:
        """End a charge and settle the bucket with the tokens used."""
        account = self._accounts_by_workspace.get(message.workspace)
        if account is None:
            return []
        charge = account.charges_by_request.pop(message.request_id, None)
        if charge is not None:
            account.available_tokens += charge.tokens - message.tokens
        return []

    @components.handles(messages.HoldingsReply)
    def on_holdings(
        self, message: messages.HoldingsReply, sender: str
    ) -> components.Actions:
        """Add or reconcile the charges that a host reports."""
        if not self.state.owns(message.partition):
            return []
        reported = {charge.request_id for charge in message.charges}
        for workspace, account in self._accounts_by_workspace.items():
            if self._partition(workspace) == message.partition:
                self._drop_unreported_charges(account, sender, reported)
        for charge in message.charges:
            self._adopt_charge(charge, sender)
        return []

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """Answer deferred charge requests and reconcile periodically."""
        produced: components.Actions = []
        deferred_requests = self._deferred_requests
        self._deferred_requests = []
        for message, sender in deferred_requests:
            produced.extend(self.on_charge(message, sender))
        if self.state.now_ms < self._next_reconcile_ms:
            return produced
        self._next_reconcile_ms = self.state.now_ms + RECONCILE_MS
        self._drop_charges_of_dead_hosts()
        for partition in sorted(self._partitions_with_charges()):
            produced.extend(self._query_members(partition))
        return produced

    def _decide_charge(
        self, message: messages.ChargeRequest, sender: str
    ) -> actions.SendMessage:
        config = self._config(message.workspace)
        if config is None:
            return self._reply(message, sender, code='unknown_workspace')
        account = self._account(config)
        if message.request_id in account.charges_by_request:
            return self._reply(message, sender)
        account.refill(config, self.state.now_ms)
        retry_after_ms = account.retry_after_ms(config)
        if retry_after_ms:
            return self._reply(message, sender, 'limit_reached', retry_after_ms)
        account.charges_by_request[message.request_id] = Charge(
            sender, message.tokens, self.state.now_ms
        )
        account.available_tokens -= message.tokens
        return self._reply(message, sender)

    def _reply(
        self,
        message: messages.ChargeRequest,
        sender: str,
        code: str = '',
        retry_after_ms: int = 0,
    ) -> actions.SendMessage:
        reply = messages.ChargeReply(
            partition=message.partition,
            request_id=message.request_id,
            granted=not code,
            code=code,
            retry_after_ms=retry_after_ms,
            bundle_version=self._bundle_version(),
        )
        return actions.SendMessage(sender, reply)

    def _bundle_version(self) -> int:
        return 0 if self.state.bundle is None else self.state.bundle.version

    def _adopt_charge(
        self, charge: messages.ChargeRequest, sender: str
    ) -> None:
        config = self._config(charge.workspace)
        if config is None:
            return
        account = self._account(config)
        account.charges_by_request.setdefault(
            charge.request_id,
            Charge(sender, charge.tokens, self.state.now_ms),
        )

    def _drop_unreported_charges(
        self, account: Account, holder: str, reported: set[str]
    ) -> None:
        # The reply lacks charges made while the query was in transit.
        cutoff_ms = self.state.now_ms - RECONCILE_GRACE_MS
        for request_id, charge in list(account.charges_by_request.items()):
            if charge.holder != holder or charge.since_ms > cutoff_ms:
                continue
            if request_id not in reported:
                account.charges_by_request.pop(request_id)

    def _drop_charges_of_dead_hosts(self) -> None:
        alive = self.state.live_peers | {self.state.host}
        for account in self._accounts_by_workspace.values():
            for request_id, charge in list(account.charges_by_request.items()):
                if charge.holder not in alive:
                    account.charges_by_request.pop(request_id)

    def _partitions_with_charges(self) -> set[str]:
        return {
            self._partition(workspace)
            for workspace, account in self._accounts_by_workspace.items()
            if account.charges_by_request
        }

    def _query_members(self, partition: str) -> components.Actions:
        query = messages.HoldingsQuery(partition)
        hosts = self.state.live_peers | {self.state.host}
        return [actions.SendMessage(host, query) for host in sorted(hosts)]

    def _partition(self, workspace: str) -> str:
        count = self.state.settings.limits.account_partitions
        return partitions.accounts_partition(workspace, count)

    def _config(self, workspace: str) -> records.WorkspaceConfig | None:
        if self.state.bundle is None:
            return None
        return self.state.bundle.workspaces_by_name.get(workspace)

    def _account(self, config: records.WorkspaceConfig) -> Account:
        if config.name not in self._accounts_by_workspace:
            self._accounts_by_workspace[config.name] = Account(
                config, self.state.now_ms
            )
        return self._accounts_by_workspace[config.name]
