"""The reverse proxy daemon in front of a platform's backend servers.

It connects the components: mirrors of the configuration and of the register
of backend servers feed the gateway, the ingress accepts callers' connections,
and a readiness address tells the load balancer whether to send new ones.  It
keeps no state on disk: a start reads everything from the platform's store.
"""

import random
import time

import attrs
import curio
import curio.errors

from mangorock import bounds
from mangorock import budget
from mangorock import buffers
from mangorock import client as clients
from mangorock import consultation
from mangorock import descriptors
from mangorock import directory as directories
from mangorock import discovery
from mangorock import duty_setup
from mangorock import errors
from mangorock import exposition
from mangorock import gateway as gateways
from mangorock import http
from mangorock import ingress as ingresses
from mangorock import isolation
from mangorock import limit_reports
from mangorock import logs
from mangorock import mirror
from mangorock import presence
from mangorock import shutdown
from mangorock import signals
from mangorock import staging
from mangorock import subscription
from mangorock import turns
from mangorock import wakeup

CONNECT_TIMEOUT_S = 0.5  # A hundred round trips between failure domains.
SEND_TIMEOUT_S = 2.0  # Unacknowledged bytes end a connection after this.
PRUNE_INTERVAL_S = 0.5
# Delays of the event loop from which on a pruning that was late is logged.
LOGGED_DELAY_S = 0.1
# Interval at which the settings file is read again without a signal.
SETTINGS_INTERVAL_S = 2.0


class FrontDaemon:
    """The tasks of the daemon, with explicit `start` and `close`.

    ``platform`` is an adapter with ``wire``, ``orders``, ``cloud``,
    ``make_store``, ``config_prefix``, ``servers_prefix``,
    ``decode_catalog(items)`` and ``decode_server(item)``.
    """

    def __init__(self, settings, platform):
        self.settings = settings
        self.platform = platform
        self.rng = random.Random()
        self.metrics = exposition.make_prometheus_metrics()
        shared_turns = turns.Turns()
        self.account = buffers.Buffers(settings.max_held_bytes)
        self.shares = descriptors.SocketShares(settings.max_sockets)
        self.client = clients.Client(
            CONNECT_TIMEOUT_S,
            SEND_TIMEOUT_S,
            shared_turns,
            self.account,
            self.shares.max_reserved,
        )
        self.gateway = gateways.Gateway(
            platform.wire,
            settings.failure_domain,
            self.client,
            self.metrics,
            budget.Budgets(settings.retry_terms),
            self.rng,
        )
        self.client.on_response = self.gateway.sender.note_response
        self.ingress = ingresses.Ingress(
            self.gateway.handle,
            lambda: self.gateway.catalog.limits,
            platform.wire.encode_refusal,
            shared_turns,
            self.account,
            lambda: self.shares.max_callers(self.client.open_count),
        )
        self.account.on_cut = self.metrics.count_cut
        self.ingress.on_closed = self.metrics.count_closed
        self.shutdown = shutdown.Shutdown(self.ingress, self.gateway)
        self.gateway.keys.bound_s = settings.revocation_s
        self.gateway.registry.rates.vm = settings.vm
        self.gateway.registry.rates.vm_count = self.gateway.placer.vm_count
        self.is_stopping = False
        self.was_ready = False
        self.store = None
        self.directory = None
        self.vm_items = {}
        self.has_new_era = curio.Event()
        self.usage_exchange = None
        self.tasks = []
        self.subscription = None

    @property
    def is_ready(self):
        """Return whether the load balancer may send new connections."""
        return (
            not self.is_stopping
            and bool(self.gateway.catalog.version)
            and self.subscription is not None
            and self.subscription.is_synced
        )

    async def start(self):
        """Listen on all addresses and start all tasks."""
        settings = self.settings
        callers = http.listen(*settings.caller_address)
        probes = http.listen(*settings.ready_address)
        await self.ingress.start(callers)
        await self.spawn(self.ingress.count_unread)
        await self._serve_probes(probes, self._answer_probe)
        if settings.metrics_address is not None:
            scrapes = http.listen(*settings.metrics_address)
            await self._serve_probes(scrapes, self._answer_scrape)
        store = self.platform.make_store(settings.store_address, self.client)
        self.store = store
        servers = discovery.Discovery(self.gateway.registry, self.platform)
        config_prefix = self.platform.config_prefix
        self.subscription = subscription.Subscription(
            store,
            settings.mirror_timing,
            self.rng,
            [
                subscription.Consumer(
                    config_prefix, self._apply_config, self._apply_config
                ),
                subscription.Consumer(
                    self.platform.servers_prefix,
                    servers.on_listing,
                    servers.on_events,
                ),
                subscription.Consumer(
                    presence.PREFIX,
                    self._apply_vm_listing,
                    self._apply_vm_events,
                    is_optional=True,
                ),
            ],
            self.gateway.keys.on_confirmed,
        )
        await self.subscription.start()
        isolated = isolation.Isolation(self.gateway, store)
        self.gateway.isolation = isolated
        await self.spawn(isolated.follow)
        await self.spawn(isolated.run)
        await self._start_vm_discovery(store)
        await self.spawn(self._prune)
        logs.event(
            'started',
            vm=settings.vm,
            failure_domain=settings.failure_domain,
        )

    async def _serve_probes(self, listener, handler):
        await self.spawn(
            http.serve,
            listener,
            handler,
            ingresses.MAX_PROBE_BYTES,
            ingresses.MAX_PROBES,
        )

    async def _start_vm_discovery(self, store):
        """Announce this VM to the others and follow the list of VMs."""
        settings = self.settings
        value = b''
        if settings.peer_address is not None:
            own_peer = directories.Peer(
                settings.vm,
                settings.region,
                settings.peer_address,
                settings.capacity,
            )
            value = directories.encode_peer(own_peer)
            self.directory = directories.Directory(own_peer)
            self._update_directory()
            self.gateway.scheduler_endpoint = consultation.SchedulerEndpoint(
                self.directory,
                self.gateway.scheduler,
                self.gateway.healthy_servers,
                self.gateway.pause,
            )
            endpoint = self.gateway.scheduler_endpoint
            endpoint.on_part_message = self.gateway.isolation.on_message
            reports = limit_reports.LimitReports(self.gateway, endpoint)
            endpoint.on_server_limit = reports.on_message
            self.gateway.sender.tell_limit = reports.tell
            await endpoint.start(settings.peer_address)
            await self._start_staging(store)
            if settings.duties is not None:
                await self._start_duties(store)
        await self.spawn(
            presence.announce,
            store,
            settings.vm,
            value,
            self.rng,
            self.gateway.budgets.share,
            self.has_new_era,
        )
        await self.spawn(
            presence.count_vms,
            store,
            presence.VmCounter(self.gateway.placer.vm_count),
            self._apply_vms,
            self.rng,
        )

    async def _start_staging(self, store):
        scheduler_endpoint = self.gateway.scheduler_endpoint
        controller = staging.StageController(
            self.settings.vm,
            bounds.ORDER_LEASE_FACTOR * self.settings.order_spacing_s,
            self.gateway.registry,
            store,
            self.client,
            self.platform.orders,
            scheduler_endpoint.announce_away,
        )
        scheduler_endpoint.on_stage_request = controller.request_stage
        await self.spawn(controller.run)
        await self.spawn(
            staging.PlanningLoop(
                self.gateway, scheduler_endpoint.request_stage
            ).run
        )

    async def _start_duties(self, store):
        loop = duty_setup.make_duty_loop(
            self.settings, self.gateway, store, self.platform.cloud
        )
        self.usage_exchange = loop.usage
        await self.spawn(loop.run)

    def _apply_vms(self, vms, items):
        self.gateway.set_vm_count(vms)
        if not self.subscription.has_all_keys:
            self._apply_vm_listing(items)

    def _apply_vm_listing(self, items):
        """Replace the other VMs."""
        self.vm_items = {item.key: item for item in items}
        self._update_directory()

    def _apply_vm_events(self, events):
        for event in events:
            match event:
                case mirror.Item():
                    self.vm_items[event.key] = event
                case mirror.Removal():
                    self.vm_items.pop(event.key, None)
        if events:
            self._update_directory()

    def _update_directory(self):
        vms = [key.removeprefix(presence.PREFIX) for key in self.vm_items]
        self.gateway.registry.rates.set_vms(vms)
        if self.directory is None:
            return
        found = map(directories.decode_peer, self.vm_items.values())
        self.directory.update_peers(
            [peer for peer in found if peer is not None]
        )

    async def spawn(self, function, *args):
        """Start a task that `close` cancels, and return it."""
        task = await curio.spawn(function, *args, daemon=True)
        self.tasks.append(task)
        return task

    def _apply_config(self, events):
        for event in events:
            if not isinstance(event, mirror.Item):
                continue
            newer = self.platform.decode_catalog(event)
            if newer is None:
                continue
            known = self.gateway.catalog.version
            is_newer = newer.version > known
            logs.event(
                'config_read',
                version=newer.version,
                known=known,
                revision=event.revision,
                in_force=is_newer,
            )
            if is_newer:
                self.gateway.catalog = newer

    async def reload(self, load_settings):
        """Apply a changed settings file; an invalid one changes nothing.

        ``load_settings()`` returns `bounds.FrontSettings` or raises
        `errors.SettingsError`.  The store address and the grace period take
        effect at once, all other settings at the next start.
        """
        try:
            newer = load_settings()
        except errors.SettingsError as exc:
            logs.warning('settings_refused', error=exc.message)
            return
        if newer == self.settings:
            return
        needs_start = attrs.evolve(
            newer,
            store_address=self.settings.store_address,
            grace_s=self.settings.grace_s,
        )
        logs.event(
            'settings_reloaded',
            store=newer.store_address,
            grace_s=newer.grace_s,
            needs_start=needs_start != self.settings,
        )
        has_moved = newer.store_address != self.settings.store_address
        self.store.address = newer.store_address
        self.settings = attrs.evolve(
            self.settings,
            store_address=newer.store_address,
            grace_s=newer.grace_s,
        )
        if self.is_stopping:
            self.shutdown.limit(newer.grace_s)
        if has_moved:
            await self.subscription.restart()

    async def watch_settings(self, load_settings, hangup):
        """Reload at each ``hangup`` event and at a fixed interval, forever."""
        while True:
            async with curio.ignore_after(SETTINGS_INTERVAL_S):
                await hangup.wait()
                hangup.clear()
                logs.event('hangup')
            await self.reload(load_settings)

    async def _prune(self):
        """Drop ended state and idle connections, forever."""
        era = self.store.eras.era
        while True:
            due_s = time.monotonic() + PRUNE_INTERVAL_S
            await curio.sleep(PRUNE_INTERVAL_S)
            self._note_delay(time.monotonic() - due_s)
            self.gateway.forget(time.monotonic())
            await self.client.close_expired()
            if self.store.eras.era != era:
                era = self.store.eras.era
                await self.has_new_era.set()
                await self.subscription.follow_era(era)

    def _note_delay(self, delay_s):
        """Record by how much the event loop is behind."""
        self.metrics.timing('loop_delay', max(0.0, delay_s))
        if delay_s >= LOGGED_DELAY_S:
            logs.warning(
                'loop_delayed',
                delay_s=delay_s,
                register_age_s=time.monotonic()
                - self.gateway.registry.last_contact_s,
            )

    async def _answer_probe(self, request, responder):
        is_ready = self.is_ready
        if is_ready != self.was_ready:
            logs.event('readiness', is_ready=is_ready)
            self.was_ready = is_ready
        await responder.respond(200 if is_ready else 503, b'')

    async def _answer_scrape(self, request, responder):
        self.metrics.set_held(
            self.account.held_bytes(),
            callers=len(self.ingress.connections),
            others=self.client.open_count,
        )
        await responder.respond(
            200,
            exposition.render(self.metrics),
            [('content-type', exposition.CONTENT_TYPE)],
        )

    async def stop(self):
        """Wait for open requests to finish; return whether all were served.

        See `shutdown.Shutdown`.
        """
        self.is_stopping = True
        self.shutdown.begin(self.settings.grace_s)
        is_clean = await self.shutdown.run()
        if self.usage_exchange is not None:
            left_s = self.gateway.stops_at_s - time.monotonic()
            await self.usage_exchange.flush(left_s)
        return is_clean

    async def close(self):
        """Cancel the tasks in reverse order; idempotent."""
        await self.ingress.close()
        if self.subscription is not None:
            await self.subscription.close()
        while self.tasks:
            await self.tasks.pop().cancel()
        if self.gateway.scheduler_endpoint is not None:
            await self.gateway.scheduler_endpoint.close()
        await self.client.close()


async def serve(load_settings, platform, received):
    """Run until SIGTERM; return whether every request was served.

    ``load_settings()`` returns `bounds.FrontSettings`; ``platform`` is as for
    `FrontDaemon`; ``received`` are the `signals.Signals` of the process.
    """
    front = FrontDaemon(load_settings(), platform)
    stop, hangup = wakeup.make_wakeup(), wakeup.make_wakeup()
    received.listen(signals.STOP, stop.set)
    received.listen(signals.HANGUP, hangup.set)
    await front.start()
    await front.spawn(front.watch_settings, load_settings, hangup)
    await stop.wait()
    # The platform counts the grace period of the newest settings file.
    await front.reload(load_settings)
    is_clean = await front.stop()
    await front.close()
    logs.event('stopped', is_clean=is_clean)
    return is_clean
