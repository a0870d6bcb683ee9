"""
Host daemon
~~~~~~~~~~~

The process of one entry host on the users' platform: creates its components,
serves callers until SIGTERM and then drains open requests.
"""

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import Callable, Collection, Coroutine, Iterable
from typing import Any, Final

from aiohttp import web

from bergamotstream import (
    clock,
    errors,
    exporters,
    framing,
    metrics,
    outsidedata,
    version,
)
from bergamotstream.forwarding import (
    answerrecords,
    blamerecords,
    callerlimits,
    configurationfetch,
    connections,
    directory,
    dispatch,
    eventlog,
    fleetrecords,
    fleetview,
    hostrooms,
    hostsettings,
    ingress,
    itemfetch,
    largeitems,
    linkprobes,
    listensockets,
    outcomes,
    pacedreads,
    peerexchange,
    peerfetch,
    peerformat,
    peerrelay,
    peerupdates,
    relayformat,
    reservations,
    scheduler,
    storetasks,
    storewatchers,
)
from bergamotstream.platform import bootsettings, protocol, store

EXIT_INVALID_SETTINGS: Final = 2
# Keep-alive timeout of callers' connections; the operators' limits for callers
# are shorter.
CALLER_IDLE_TIMEOUT_S: Final = 75.0
# A stopping host accepts requests that end at least this long before its grace
# period does.
STOP_MARGIN_MS: Final = 1_200
# Callers have fetched a new answer of the directory by then.
MIN_STOP_MS: Final = 3_200
# Open requests get their final answer this long before the grace period ends.
ANSWER_MARGIN_MS: Final = 700
# What is still open is aborted this long before the grace period ends.
ABORT_MARGIN_MS: Final = 400
# Timeout for the servers to close their connections.
CLOSE_TIMEOUT_S: Final = 0.1
OPEN_REQUESTS_CHECK_S: Final = 0.05
LAPSE_CHECK_S: Final = 0.2
LOAD_CHECK_MS: Final = 200
# Connections that are accepted in one turn of the event loop: those above the
# bound of a server are open for a few turns.
ACCEPT_BATCH: Final = 16
MS_PER_S: Final = 1_000


class HostDaemon:
    """One entry host."""

    def __init__(
        self,
        config: hostsettings.HostSettings,
        listeners: listensockets.Listeners,
    ) -> None:
        """Create the components that need no event loop."""
        self._config = config
        self._listeners = listeners
        self._clock = clock.Clock()
        self._log = eventlog.EventLog(self._clock)
        self._meters = metrics.Metrics()
        self._rng = random.Random()
        self._core = scheduler.Scheduler(config, self._rng)
        self._core.budget.start(self._clock.now_ms())
        self._entry = fleetrecords.HostEntry(
            config.name,
            config.zone,
            config.caller_address,
            config.peer_address,
            self._clock.wall_ms(),
        )
        self._outcomes = outcomes.OutcomeRecorder(
            self._core, self._log, self._clock, self._meters
        )
        self._peers = peerexchange.PeerExchange(
            self._entry, self._core, self._outcomes, self._log, self._clock
        )
        self._outcomes.tell_peers = self._peers.schedule_send
        self._meters.read_gauges = self._read_gauges
        self._parsing = callerlimits.ParseBudget()
        self._stop_requested = asyncio.Event()
        self._configured = asyncio.Event()
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._answer_relayed: pacedreads.Handler = _not_found
        self._registration: storetasks.Registration | None = None
        self._own_subject = f'host:{config.name}'
        self._item_server = largeitems.ItemServer(self._core.view, self._log)

    async def run(self) -> None:
        """Serve until stopped."""
        self._log.write(
            'started',
            host=self._entry.name,
            zone=self._entry.zone,
            build=version.BUILD,
        )
        answers = answerrecords.AnswerRecorder(
            self._core.view, self._log, self._meters
        )
        pooled, unpooled = [
            connections.open_session(
                reuse=reuse,
                record_invalid=answers.record_invalid,
                record_skipped=answers.record_skipped,
            )
            for reuse in (True, False)
        ]
        to_store = connections.open_session(
            reuse=True,
            record_invalid=answers.record_invalid,
            unacknowledged_ms=connections.STORE_UNACKNOWLEDGED_MS,
        )
        async with pooled, unpooled, to_store:
            dependencies = ingress.Dependencies(
                self._core,
                dispatch.Dispatcher(
                    pooled, unpooled, self._outcomes.record_head
                ),
                reservations.Reservations(
                    pooled, self._log, self._config.bounds
                ),
                self._peers,
                self._log,
                self._clock,
                self._meters,
                self._outcomes,
                self._configured,
                peerrelay.PeerRelay(pooled, self._entry.name),
            )
            caller_ingress = ingress.Ingress(dependencies)
            self._answer_relayed = caller_ingress.handle_relayed
            client = store.StoreClient(self._config.store, to_store)
            registration = storetasks.Registration(
                client, self._entry, self._log
            )
            self._registration = registration
            await self._open_servers(caller_ingress)
            self._start_tasks(
                storetasks.StoreWatch(
                    client,
                    self._core.view,
                    self._log,
                    self._clock,
                    self._handle_changes,
                    self._may_watch_store,
                    self._is_first_watcher,
                ).run(),
                registration.run(),
                self._peers.run(),
                peerfetch.PeerFetch(
                    pooled,
                    self._peers,
                    self._core,
                    self._log,
                    self._clock,
                    self._meters,
                ).run(self._handle_changes),
                configurationfetch.ConfigurationFetch(
                    pooled,
                    self._peers,
                    self._core.view,
                    self._log,
                    self._clock,
                    self._meters,
                ).run(self._handle_changes),
                itemfetch.ItemFetch(
                    pooled,
                    self._peers,
                    self._core.view,
                    self._log,
                    self._clock,
                    self._meters,
                ).run(self._handle_changes),
                blamerecords.BlameRecords(
                    client,
                    self._core.view,
                    self._core.blame,
                    self._log,
                    self._clock,
                ).run(),
                linkprobes.LinkProbes(
                    unpooled, self._core, self._outcomes, self._clock
                ).run(),
                self._drop_lapsed_targets(),
            )
            if self._config.features.weighted_directory:
                self._start_tasks(self._measure_load(caller_ingress))
            await self._stop_requested.wait()
            await self._stop(caller_ingress, registration)
        self._log.write('stopped', open_requests=caller_ingress.open_requests)

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop_requested.set()

    def log_setting_faults(
        self, faults: Iterable[bootsettings.SettingFault]
    ) -> None:
        """Log the settings that are not used as they stand in the file."""
        for fault in faults:
            self._log.write('setting_refused', **fault._asdict())

    def reload(self) -> None:
        """Apply the limits of the settings file, if all of it is valid.

        Other fields apply after a restart.
        """
        try:
            loaded = bootsettings.load(bootsettings.settings_path())
        except errors.InvalidSettings as invalid:
            self._log.write(
                'reload',
                outcome='refused',
                detail=invalid.detail,
                remedy=invalid.remedy,
            )
            return
        if loaded.faults:
            self.log_setting_faults(loaded.faults)
            self._log.write('reload', outcome='refused')
            return
        changed = set(bootsettings.changed_fields(self._config, loaded.host))
        self._config = self._config._replace(bounds=loaded.host.bounds)
        self._core.apply_bounds(self._config.bounds)
        self._log.write(
            'reload',
            outcome='applied',
            bounds_changed='bounds' in changed,
            after_restart=','.join(sorted(changed - {'bounds'})),
        )

    async def _open_servers(self, caller_ingress: ingress.Ingress) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=framing.split_address(self._entry.peer_address),
        )
        await self._serve(
            self._entry.peer_address,
            self._answer_peer,
            hostsettings.PEER_SOCKETS_SHARE,
            _max_peer_head,
        )
        await self._serve(
            self._config.readiness_address,
            self._answer_ready,
            hostsettings.READINESS_SOCKETS_SHARE,
        )
        await self._serve(
            self._config.directory_address,
            self._answer_directory,
            hostsettings.DIRECTORY_SOCKETS_SHARE,
        )
        await self._serve(
            self._config.caller_address,
            caller_ingress.handle,
            hostsettings.CALLER_SOCKETS_SHARE,
        )

    def _max_caller_head(self) -> int:
        """Return the longest head by the limits that are in force."""
        configuration = self._core.view.configuration
        if configuration is None:
            return pacedreads.MAX_HEAD_BYTES
        limits = configuration.limits
        return pacedreads.max_caller_head(limits.max_header_bytes)

    def _update_caller_bytes(self) -> None:
        """Hold for callers at least the largest request that is allowed."""
        configuration = self._core.view.configuration
        if configuration is not None:
            limits = configuration.limits
            self._core.held_for_callers.allowed = max(
                self._config.caller_bytes,
                callerlimits.largest_request(
                    limits.max_header_bytes, limits.max_body_bytes
                ),
            )

    async def _serve(
        self,
        address: str,
        handler: pacedreads.Handler,
        sockets_share: float,
        max_head_bytes: Callable[[], int] | None = None,
    ) -> None:
        limits = callerlimits.ServerLimits(
            max_head_bytes or self._max_caller_head,
            self._core.held_for_callers,
            callerlimits.ConnectionTable(
                self._config.connections(sockets_share)
            ),
            self._parsing,
        )
        server = pacedreads.PacedServer(
            handler,
            self._outcomes.refusals,
            limits,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=CALLER_IDLE_TIMEOUT_S,
            max_line_size=pacedreads.MAX_PEER_HEAD_BYTES,
            max_field_size=pacedreads.MAX_PEER_HEAD_BYTES,
            max_headers=pacedreads.MAX_HEAD_LINES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await runner.setup()
        listener = self._listeners.get(address)
        if listener is None:
            listener = listensockets.open_listener(address)
        await web.SockSite(runner, listener, backlog=ACCEPT_BATCH).start()
        # The event loop has set the queue of the kernel to the same number.
        listener.listen(listensockets.BACKLOG)
        self._runners.append(runner)

    def _start_tasks(self, *coroutines: Coroutine[Any, Any, None]) -> None:
        for coroutine in coroutines:
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Stop the process if a task fails; nothing else does its work."""
        if task.cancelled():
            return
        self._log.write('task_failed', fault=repr(task.exception()))
        self.request_stop()

    def _handle_changes(self, changes: list[fleetview.Change]) -> None:
        """Log changes of the view and update the state they affect."""
        now_ms = self._clock.now_ms()
        for change in changes:
            self._log.write('believed', **change._asdict())
            kind, _, name = change.subject.partition(':')
            if kind == 'target':
                self._update_target(name, change.outcome, now_ms)
            elif kind == 'blamed':
                self._outcomes.record_blamed(name)
            elif kind == 'store':
                self._meters.count('store_histories', change.outcome)
            elif change.subject == self._own_subject:
                self._handle_own_entry(change)
        self._outcomes.pace.update_zones()
        if changes:
            self._peers.schedule_delayed_send()
            self._check_readiness()
            self._update_caller_bytes()
        self._update_cells()

    def _handle_own_entry(self, change: fleetview.Change) -> None:
        if change.outcome == 'gone' and self._registration is not None:
            self._registration.report_gone()

    def _update_cells(self) -> None:
        """Form the cells again if the hosts have changed."""
        cells = self._core.cells
        change = cells.update(self._clock.now_ms())
        if change is not None:
            self._log.write('cell_changed', **change._asdict())
        self._core.budget.update_host_count(cells.fleet_hosts)
        self._core.cold.update_host_count(len(cells.members))
        self._core.limits.update_host_count(len(cells.members))

    def _read_gauges(self) -> dict[metrics.Series, float]:
        gauges = {
            metrics.Series('target_limit_per_s', target_id): per_s
            for target_id, per_s in self._core.limits.limits().items()
            if target_id in self._core.view.targets_by_id
        }
        counts = {
            'cells': self._core.cells.count,
            'cell_hosts': len(self._core.cells.members),
            'peers': len(self._peers.peers_by_name),
            'contacts': len(self._peers.live_contacts()),
            'held_bytes': self._core.held.total,
            'held_bytes_limit': self._core.held.allowed,
            'waiting_answers': len(self._core.held.room),
            'waiting_requests': self._core.shares.count_waiting(),
            'caller_bytes': self._core.held_for_callers.total,
            'caller_bytes_limit': self._core.held_for_callers.allowed,
        }
        if self._config.features.weighted_directory:
            room = self._peers.own_room
            gauges[metrics.Series('host_capacity', '')] = room.capacity
            gauges[metrics.Series('host_load', '')] = room.load
        gauges |= self._outcomes.refusals.gauges()
        gauges |= self._outcomes.pace.gauges()
        return gauges | {
            metrics.Series(name, ''): float(count)
            for name, count in counts.items()
        }

    def _may_watch_store(self) -> bool:
        return storewatchers.should_watch(
            self._entry.name,
            self._watching_peers(),
            self._clock.now_ms(),
            self._core.cells.count,
        )

    def _watching_peers(self) -> list[peerformat.HostState]:
        """Return the peers that this host may leave the store to.

        Older builds do not follow a store that returns from a copy.
        """
        era = self._core.view.items.era
        return [
            peer
            for peer in self._peers.live_peers()
            if peer.store_era or not era
        ]

    def _is_first_watcher(self) -> bool:
        return storewatchers.is_first(
            self._entry.name, self._peers.live_peers(), self._core.cells.count
        )

    def _update_target(self, target_id: str, outcome: str, now_ms: int) -> None:
        entry = self._core.view.targets_by_id.get(target_id)
        self._outcomes.record_target_change(target_id, outcome)
        self._core.limits.drop_unlisted(
            self._core.view.targets_by_id.values(), now_ms
        )
        if entry is None:
            self._core.cold.forget(target_id)
            self._core.pace.forget(target_id)
        else:
            self._core.cold.update_target(entry, now_ms)
            self._outcomes.pace.record_listed(
                entry, is_running=self._configured.is_set()
            )

    async def _drop_lapsed_targets(self) -> None:
        """Periodically drop targets whose entries were not renewed.

        Also logs what has changed in the blame meanwhile.
        """
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            now_ms = self._clock.now_ms()
            self._core.blame.counts.record_store_answer(
                self._peers.store_answered_ms(), now_ms
            )
            self._handle_changes(self._core.view.drop_lapsed(now_ms))
            self._outcomes.log_blame_changes()

    async def _measure_load(self, caller_ingress: ingress.Ingress) -> None:
        """Periodically update the room that peers and callers are told."""
        own_load = hostrooms.OwnLoad(self._config)
        self._peers.own_room = own_load.room
        while True:
            due_ms = self._clock.now_ms() + LOAD_CHECK_MS
            await asyncio.sleep(LOAD_CHECK_MS / MS_PER_S)
            self._peers.own_room = own_load.update(
                caller_ingress.open_requests, self._clock.now_ms() - due_ms
            )

    def _check_readiness(self) -> None:
        """Become ready with the first configuration unless stopping."""
        known = self._core.view.configuration is not None
        if not known or self._configured.is_set():
            return
        self._configured.set()
        self._peers.ready = not self._stop_requested.is_set()
        self._log.write('readiness', ready=self._peers.ready)

    async def _stop(
        self,
        caller_ingress: ingress.Ingress,
        registration: storetasks.Registration,
    ) -> None:
        """Withdraw from the directory, then drain open requests.

        Callers cache an answer of the directory for a while. A host that then
        has no open request exits, so that it has restarted before the next
        hosts stop.
        """
        self._log.write('stopping', open_requests=caller_ingress.open_requests)
        requested_ms = self._clock.now_ms()
        grace_end_ms = requested_ms + self._config.bounds.stop_grace_ms
        caller_ingress.open.begin_stop(
            scheduler.GracefulShutdown(
                requested_ms,
                grace_end_ms - STOP_MARGIN_MS,
                grace_end_ms - ANSWER_MARGIN_MS,
            )
        )
        self._peers.ready = False
        self._peers.send_now()
        abort_ms = grace_end_ms - ABORT_MARGIN_MS
        await asyncio.gather(
            registration.withdraw(),
            asyncio.sleep(min(MIN_STOP_MS, abort_ms - requested_ms) / MS_PER_S),
        )
        while caller_ingress.open_requests and self._clock.now_ms() < abort_ms:
            await asyncio.sleep(OPEN_REQUESTS_CHECK_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def _answer_ready(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path != protocol.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._peers.ready else 503)

    async def _answer_directory(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path != protocol.RESOLVE_PATH:
            return web.Response(status=404)
        peers = self._peers.live_peers()
        if sum(peer.ready for peer in peers) < directory.MIN_CELL_HOSTS:
            peers.extend(self._peers.live_contacts())
        listed = directory.list_addresses(
            self._entry,
            self._peers.ready,
            bool(self._core.links.lost_services()),
            self._registered_hosts(),
            peers,
            self._rng,
            _asked(request, self._config, self._peers.own_room),
        )
        ttl_ms = min(
            directory.ADDRESS_TTL_MS, self._config.bounds.address_ttl_max_ms
        )
        body = {'addresses': listed, 'ttl_s': ttl_ms / MS_PER_S}
        return web.Response(
            body=json.dumps(body).encode(), content_type='application/json'
        )

    def _registered_hosts(self) -> Collection[fleetrecords.HostEntry]:
        """Return the hosts that the store lists, if some may still live.

        They are listed while this host hears none of them: its links may have
        failed. Entries of hosts that have ended lapse only after a while.
        """
        silent_ms = self._clock.now_ms() - self._peers.heard_ms
        if silent_ms > self._config.bounds.unheard_listing_ms:
            return ()
        return self._core.view.hosts_by_name.values()

    async def _answer_peer(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path in {peerupdates.ITEMS_PATH, peerupdates.NEWS_PATH}:
            return self._answer_with_items(request)
        if request.path == largeitems.ITEM_PATH:
            return await self._item_server.answer(request)
        if request.path == configurationfetch.CONFIGURATION_PATH:
            return self._answer_configuration()
        if request.path == relayformat.RELAY_PATH:
            return await self._answer_relayed(request)
        if request.path == '/metrics':
            exporter = exporters.get_exporter_by_name('prometheus')()
            return web.Response(text=exporter.render(self._meters.snapshot()))
        return web.Response(status=404)

    def _answer_with_items(self, request: web.BaseRequest) -> web.Response:
        view, now_ms = self._core.view, self._clock.now_ms()
        try:
            known = peerupdates.read_position(request.query, view.items)
        except outsidedata.Malformed:
            return web.Response(status=400)
        if request.path == peerupdates.NEWS_PATH:
            news = peerupdates.news_since(view, known, now_ms)
            return web.Response(
                body=peerupdates.deflate(peerupdates.encode(news))
            )
        update = peerupdates.update_since(view, known, now_ms)
        return web.Response(
            body=peerupdates.encode(update), content_type='application/json'
        )

    def _answer_configuration(self) -> web.Response:
        document = self._core.view.in_force.document
        if not document:
            return web.Response(status=404)
        return web.Response(body=peerupdates.deflate(document))


def _asked(
    request: web.BaseRequest,
    config: hostsettings.HostSettings,
    own_room: hostrooms.Room,
) -> hostrooms.Asked | None:
    """Return what an answer of the directory weighs, if it weighs hosts."""
    if not config.features.weighted_directory:
        return None
    return hostrooms.Asked(request.query.get('zone', ''), own_room)


def _max_peer_head() -> int:
    """Return the longest head of a peer, which holds a caller's head.

    The peer may have a later configuration with a higher limit.
    """
    return pacedreads.MAX_PEER_HEAD_BYTES


async def _not_found(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=404)


async def serve(
    loaded: bootsettings.BootSettings, listeners: listensockets.Listeners
) -> None:
    """Serve until SIGTERM or SIGINT."""
    daemon = HostDaemon(loaded.host, listeners)
    daemon.log_setting_faults(loaded.faults)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.run()


def main(listeners: listensockets.Listeners) -> None:
    """Run an entry host; ``listeners`` are open already.

    Exits with ``EXIT_INVALID_SETTINGS`` for invalid settings. A host that has
    stopped ends at once: it has nothing left to save, and to free all objects
    takes a slow machine longer than the rest of the grace period.
    """
    handler = eventlog.install_handler()
    try:
        loaded = bootsettings.load(bootsettings.settings_path())
    except errors.InvalidSettings as fault:
        sys.stderr.write(f'{fault.detail}\n{fault.remedy}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    with asyncio.Runner() as runner:
        runner.run(serve(loaded, listeners))
        handler.flush()
        os._exit(0)  # noqa: WPS437 - skips the end of the interpreter
