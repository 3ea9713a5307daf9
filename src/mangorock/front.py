"""The daemon in front of the backend servers of a platform.

It joins the stages: a mirror of the configuration and one of the register
of backend servers feed the gateway, the ingress takes callers' connections,
and a probe address tells the balancer whether new ones are welcome.  It
keeps nothing: a start reads everything anew.
"""

import random
import time

import attrs
import curio
import curio.errors

from mangorock import client as clients
from mangorock import consultation
from mangorock import errors
from mangorock import exposition
from mangorock import gateway as gateways
from mangorock import http
from mangorock import ingress as ingresses
from mangorock import logs
from mangorock import mirror
from mangorock import presence
from mangorock import signals
from mangorock import staging

CONNECT_TIMEOUT_S = 0.5  # A hundred round trips between failure domains.
SEND_TIMEOUT_S = 2.0  # After which unacknowledged bytes end a connection.
PRUNE_INTERVAL_S = 0.5
# A lease for orders lasts so many times as long as orders of two VMs must be
# apart; none is sent in its second half.
ORDER_LEASES = 2.0
# Taken by the end of a silent watch, a listing, and slow VMs and calls.
WATCH_MARGIN_S = 1.6
# Left of the grace period for closing what is still open.
STOP_MARGIN_S = 0.4
# A settings file that changes without a signal is noticed this soon.
SETTINGS_INTERVAL_S = 2.0
# From SIGTERM until idle connections are closed: the balancer has taken
# this VM out by then.
CLOSE_IDLE_AFTER_S = 3.0


@attrs.frozen
class FrontSettings:
    """What the daemon learns from its settings file.

    Addresses are (host, port); ``metrics_address`` may be None.
    ``grace_s`` is the time between SIGTERM and SIGKILL.  Other VMs of
    ``region`` reach this one at ``peer_address`` (None: not at all);
    ``capacity`` is its processor in cores.  ``stable_s`` after a
    disturbance all is expected to work again: a change of the configuration
    is then in force within ``config_s``, a leaving server without new work
    within ``drain_s``.  Orders of two VMs to one engine must be ``turn_s``
    apart.
    """

    vm: str
    failure_domain: str
    caller_address: tuple
    ready_address: tuple
    store_address: str
    grace_s: float
    metrics_address: tuple | None = None
    peer_address: tuple | None = None
    region: str = ''
    capacity: float = 1.0
    stable_s: float = 3.0
    config_s: float = 2.0
    drain_s: float = 2.0
    turn_s: float = 3.0

    @property
    def watch_wait_s(self):
        """Return how long a watch may wait.

        One that was silenced by a disturbance ends in time for a new one to
        tell what changed behind it.
        """
        change_s = min(self.config_s, self.drain_s)
        return max(1.0, self.stable_s + change_s - WATCH_MARGIN_S)


class Front:
    """The tasks of one daemon, with explicit `start` and `close`.

    ``platform`` is an adapter with ``wire``, ``orders``, ``make_store``,
    ``config_prefix``, ``servers_prefix``, ``decode_catalog(items)`` and
    ``decode_server(item)``.
    """

    def __init__(self, settings, platform):
        self.settings = settings
        self.platform = platform
        self.rng = random.Random()
        self.metrics = exposition.make_scraped_metrics()
        self.client = clients.Client(CONNECT_TIMEOUT_S, SEND_TIMEOUT_S)
        self.gateway = gateways.Gateway(
            platform.wire,
            settings.failure_domain,
            self.client,
            self.metrics,
            self.rng,
        )
        self.ingress = ingresses.Ingress(
            self.gateway.handle,
            lambda: self.gateway.catalog.limits,
            platform.wire.encode_refusal,
        )
        self.config_mirror = mirror.Mirror(platform.config_prefix)
        self.servers_mirror = mirror.Mirror(platform.servers_prefix)
        self.is_stopping = False
        self.was_ready = False
        self.store = None
        self.directory = None
        self.tasks = []

    @property
    def is_ready(self):
        """Say whether new connections are welcome."""
        return (
            not self.is_stopping
            and bool(self.gateway.catalog.version)
            and self.servers_mirror.is_synced
        )

    async def start(self):
        """Bind the addresses and start every task."""
        settings = self.settings
        callers = http.listen(*settings.caller_address)
        probes = http.listen(*settings.ready_address)
        await self.spawn(self.ingress.serve, callers)
        await self.spawn(
            http.serve, probes, self._answer_probe, ingresses.MAX_PROBE_BYTES
        )
        if settings.metrics_address is not None:
            scrapes = http.listen(*settings.metrics_address)
            await self.spawn(
                http.serve,
                scrapes,
                self._answer_scrape,
                ingresses.MAX_PROBE_BYTES,
            )
        store = self.platform.make_store(settings.store_address, self.client)
        self.store = store
        await self.spawn(
            mirror.follow,
            self.config_mirror,
            store,
            self._take_config,
            self._take_config,
            self.rng,
            settings.watch_wait_s,
        )
        await self.spawn(
            mirror.follow,
            self.servers_mirror,
            store,
            self._take_servers,
            self._take_changes,
            self.rng,
            settings.watch_wait_s,
        )
        await self._join_vms(store)
        await self.spawn(self._prune)
        logs.event(
            'started',
            vm=settings.vm,
            failure_domain=settings.failure_domain,
        )

    async def _join_vms(self, store):
        """Make this VM known to the others, and learn of them."""
        settings = self.settings
        value = b''
        if settings.peer_address is not None:
            me = consultation.Peer(
                settings.vm,
                settings.region,
                settings.peer_address,
                settings.capacity,
            )
            value = consultation.encode_peer(me)
            self.directory = consultation.Directory(me)
            self.gateway.consultant = consultation.SchedulerEndpoint(
                self.directory,
                self.gateway.scheduler,
                self.gateway.sound_servers,
                self.gateway.pause,
            )
            await self.gateway.consultant.start(settings.peer_address)
            await self._start_staging(store)
        await self.spawn(
            presence.announce, store, settings.vm, value, self.rng
        )
        await self.spawn(
            presence.count_vms,
            store,
            presence.VmCounter(self.gateway.placer.vms),
            self._take_vms,
            self.rng,
        )

    async def _start_staging(self, store):
        consultant = self.gateway.consultant
        stager = staging.StageController(
            self.settings.vm,
            ORDER_LEASES * self.settings.turn_s,
            self.gateway.registry,
            store,
            self.client,
            self.platform.orders,
            consultant.announce_away,
        )
        consultant.on_stage_request = stager.request_stage
        await self.spawn(stager.run)
        await self.spawn(
            staging.PlanningLoop(self.gateway, consultant.request_stage).run
        )

    def _take_vms(self, vms, items):
        self.gateway.share_with(vms)
        if self.directory is not None:
            found = map(consultation.decode_peer, items)
            self.directory.update_peers(
                [peer for peer in found if peer is not None]
            )

    async def spawn(self, function, *args):
        """Start a task that `close` ends."""
        self.tasks.append(await curio.spawn(function, *args, daemon=True))

    def _take_config(self, events):
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

    def _take_servers(self, items):
        found = filter(None, map(self.platform.decode_server, items))
        registry, now = self.gateway.registry, time.monotonic()
        registry.replace(list(found), now)
        registry.last_contact_s = now
        logs.event(
            'servers_listed',
            servers=len(self.gateway.registry.servers),
            revision=self.servers_mirror.revision,
        )

    def _take_changes(self, events):
        registry, now = self.gateway.registry, time.monotonic()
        registry.last_contact_s = now
        for event in events:
            match event:
                case mirror.Item():
                    server = self.platform.decode_server(event)
                    if server is not None and registry.put(server):
                        logs.event(
                            'server_changed',
                            server=server.server_id,
                            service=server.service,
                            is_draining=server.is_draining,
                            stage=server.stage and server.stage.value,
                            revision=event.revision,
                        )
                case mirror.Removal():
                    server_id = self.platform.server_id(event.key)
                    registry.remove(server_id, now)
                    logs.event(
                        'server_lapsed',
                        server=server_id,
                        revision=event.revision,
                    )

    def reload(self, load):
        """Take a changed settings file; a bad one changes nothing.

        ``load()`` returns `FrontSettings` or raises `errors.SettingsError`.
        Addresses to listen on are taken at the next start only.
        """
        try:
            newer = load()
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
        self.store.address = newer.store_address
        self.settings = attrs.evolve(
            self.settings,
            store_address=newer.store_address,
            grace_s=newer.grace_s,
        )

    async def watch_settings(self, load, hangup):
        """Reload at each ``hangup`` and every few seconds, for ever."""
        while True:
            async with curio.ignore_after(SETTINGS_INTERVAL_S):
                await hangup.wait()
                hangup.clear()
                logs.event('hangup')
            self.reload(load)

    async def _prune(self):
        """Forget what is over, for ever."""
        while True:
            await curio.sleep(PRUNE_INTERVAL_S)
            self.gateway.forget(time.monotonic())
            await self.client.prune()

    async def _answer_probe(self, request, responder):
        is_ready = self.is_ready
        if is_ready != self.was_ready:
            logs.event('readiness', is_ready=is_ready)
            self.was_ready = is_ready
        await responder.respond(200 if is_ready else 503, b'')

    async def _answer_scrape(self, request, responder):
        await responder.respond(
            200,
            exposition.render(self.metrics),
            [('content-type', exposition.CONTENT_TYPE)],
        )

    async def stop(self):
        """See the open requests off within the grace period.

        Idle connections stay open until the balancer has taken this VM out,
        so that no caller meets a close.  A request that may take longer
        than is left is refused as not run, since the balancer sends new
        connections here too while most VMs of a failure domain stop.
        Returns whether all was served.
        """
        started_s = time.monotonic()
        self.is_stopping = self.ingress.is_stopping = True
        logs.event('stopping', in_flight=self.ingress.in_flight)
        end_s = started_s + self.settings.grace_s - STOP_MARGIN_S
        self.gateway.stops_at_s = end_s
        while time.monotonic() < end_s:
            if time.monotonic() - started_s > CLOSE_IDLE_AFTER_S:
                await self.ingress.close_idle()
                if not self.ingress.connections:
                    break
            await curio.sleep(0.05)
        return not self.ingress.in_flight

    async def close(self):
        """Cancel the tasks in reverse order; may be called twice."""
        while self.tasks:
            await self.tasks.pop().cancel()
        if self.gateway.consultant is not None:
            await self.gateway.consultant.close()
        await self.client.close()


async def serve(load, platform):
    """Run until SIGTERM; return whether every request was served.

    ``load()`` returns `FrontSettings`; ``platform`` is as for `Front`.
    """
    front = Front(load(), platform)
    stop = signals.make_stop_event()
    hangup = signals.make_hangup_event()
    await front.start()
    await front.spawn(front.watch_settings, load, hangup)
    await stop.wait()
    is_clean = await front.stop()
    await front.close()
    logs.event('stopped', is_clean=is_clean)
    return is_clean
