"""Forwards callers' requests to the backend servers of their route.

The stages of a request: find its route, pick its service, wait for a place,
send, relay.  Whatever ends a request early leaves as one typed refusal; a
refusal that says "not run" is only used while that is certain.
"""

import random
import time

import attrs
import curio
import curio.errors

from mangorock import catalog as catalogs
from mangorock import errors
from mangorock import generation
from mangorock import ingress
from mangorock import limits
from mangorock import logs
from mangorock import metrics as metrics_module
from mangorock import outliers as outliers_module
from mangorock import placement
from mangorock import refusals
from mangorock import registry as registries
from mangorock import scheduler
from mangorock import sending
from mangorock import traffic
from mangorock import waiting

# Requests that may wait for a place at once, for each service.
MAX_WAITING = 64
# The part of the target for which a request waits for a place.
WAIT_SHARE = 1.0
# The part of the time left after which a safe request is sent again.
TRY_SHARE = 0.4
MIN_TRY_S = 0.25
# Sends that reach no server are free, but not without end.
MAX_UNREACHED = 3
# Retry-After is spread over this span, in seconds.
RETRY_AFTER_S = (0.8, 1.6)
# Another VM can take the request at once.
STOP_RETRY_AFTER_S = 0.05
# The fleet's retry budget, as one VM's share of its own arrivals.
RETRY_SHARE = 0.12
FLEET_RETRY_BURST = 40.0


@attrs.define
class Work:
    """One request on its way through the stages."""

    request: object
    route: catalogs.Route
    reply: ingress.Reply
    deadline_s: float
    service: str = ''
    tried: set = attrs.field(factory=set)
    sends: int = 0
    unreached: int = 0
    may_have_run: bool = False
    placed_s: float = 0.0
    read_s: float = 0.0
    first_s: float = 0.0
    servers: str = ''

    def settle(self, outcome, was_run):
        """Take back what was assumed of a send that did not run."""
        if isinstance(outcome, (sending.Unreachable, sending.Refused)):
            self.may_have_run = was_run
        if isinstance(outcome, sending.Unreachable):
            self.sends -= 1

    def place(self, servers):
        """Note when and where the request got its place."""
        self.placed_s = time.monotonic()
        self.servers = '+'.join(server.server_id for server in servers)

    def since_received(self, moment_s):
        """Return the seconds until a moment, -1 if it never came."""
        return moment_s - self.request.received_s if moment_s else -1

    @property
    def left_s(self):
        """Return the seconds until the deadline."""
        return self.deadline_s - time.monotonic()


@attrs.define
class Gateway:
    """The stages with what they share; ``wire`` is an adapter.

    Once ``stops_at_s`` is set, requests that may take longer are refused.
    """

    wire: object
    failure_domain: str
    client: object
    metrics: object
    rng: random.Random = attrs.field(factory=random.Random)
    catalog: catalogs.Catalog = attrs.field(
        factory=catalogs.make_empty_catalog
    )
    registry: registries.Registry = attrs.field(factory=registries.Registry)
    lines: dict = attrs.field(factory=dict)
    budget: limits.RetryBudget = attrs.field(
        factory=lambda: limits.RetryBudget(1.0, 1.0, RETRY_SHARE)
    )
    placer: placement.Placer = attrs.field(init=False)
    outliers: outliers_module.Outliers = attrs.field(
        factory=outliers_module.Outliers
    )
    sender: sending.Sender = attrs.field(init=False)
    schedulers: dict = attrs.field(factory=dict)
    consultant: object = None
    stops_at_s: float | None = None

    def __attrs_post_init__(self):
        self.placer = placement.Placer(self.failure_domain)
        self.share_with(self.placer.vms)
        self.sender = sending.Sender(
            self.client, self.wire, self.placer, self.outliers
        )

    def share_with(self, vms):
        """Take the number of entry VMs that share the servers."""
        self.placer.vms = vms
        self.budget.burst = max(1.0, FLEET_RETRY_BURST / vms)

    async def handle(self, raw, reply):
        """Serve one request; an `ingress.Ingress` calls this."""
        end = 'whole'
        request = work = None
        try:
            request = self.wire.decode_request(raw)
            work = self._find(request, reply)
            async with curio.timeout_after(work.left_s):
                end = await self._serve(work)
        except errors.MangorockError as exc:
            end = exc.reason.value
            await self._refuse(reply, exc)
        except curio.errors.TaskTimeout:
            end = 'timeout'
            await self._refuse(reply, refusals.late(work))
        except (OSError, curio.errors.CancelledError):
            end = 'caller_gone'
            self.metrics.add('caller_gone')
            raise
        except Exception as exc:
            end = 'internal'
            logs.exception('request_failed', path=raw.target, error=repr(exc))
            await self._refuse(
                reply,
                errors.Internal(
                    'the daemon failed; look up whether the request took '
                    'effect before repeating it'
                ),
            )
        finally:
            self._account(raw, request, work, end)

    def _account(self, raw, request, work, end):
        seconds = time.monotonic() - raw.received_s
        self.metrics.timing('request', seconds)
        if work is None:
            logs.event(
                'request_done',
                request=request.request_id if request else '',
                host=request.host if request else '',
                target=raw.target,
                end=end,
                seconds=seconds,
                config=self.catalog.version,
            )
            return
        logs.event(
            'request_done',
            request=work.request.request_id,
            route=work.route.name,
            end=end,
            seconds=seconds,
            placed_s=work.since_received(work.placed_s),
            read_s=work.since_received(work.read_s),
            first_s=work.since_received(work.first_s),
            sends=work.sends,
            servers=work.servers,
            config=self.catalog.version,
            register_age_s=time.monotonic() - self.registry.last_contact_s,
        )

    async def _refuse(self, reply, error):
        self.metrics.refused(error.reason)
        if reply.is_started:
            reply.abort()
            return
        status, headers, body = self.wire.encode_refusal(error)
        await reply.respond(status, headers, body)

    def _find(self, request, reply):
        if not self.catalog.version:
            raise errors.NoTables(
                'no configuration was read yet; check the platform',
                retry_after_s=0.5,
            )
        route = self.catalog.find_route(request.host, request.path)
        if route is None:
            raise errors.NoRoute(
                f'no route for host {request.host!r} and path '
                f'{request.path!r}; check the address'
            )
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        deadline_s = request.received_s + wait_s
        if self.stops_at_s is not None and deadline_s > self.stops_at_s:
            raise errors.ShuttingDown(
                'this VM is stopping before the request may be done; send it '
                'again, the balancer will pick another',
                retry_after_s=STOP_RETRY_AFTER_S,
            )
        work = Work(request, route, reply, deadline_s)
        work.service = route.pick_service(self.rng.random())
        self.budget.earn()
        return work

    async def _serve(self, work):
        service = self.catalog.services.get(work.service)
        if service is None:
            raise refusals.no_server(work, self.retry_after_s())
        match work.route.kind:
            case catalogs.Kind.STREAM:
                return await generation.serve(self, work, service)
            case _:
                return await self._serve_plain(work, service)

    def retry_after_s(self):
        """Return when a refused caller should come back, in seconds."""
        return self.rng.uniform(*RETRY_AFTER_S)

    def servers(self, work):
        """Return the servers that this request may be sent to now."""
        return [
            server
            for server in self.sound_servers(work.service)
            if server.incarnation not in work.tried
        ]

    def sound_servers(self, service):
        """Return the servers of a service that are worth trying now."""
        now = time.monotonic()
        found = self.registry.candidates(service, now)
        return self.outliers.sound(found, now)

    def scheduler(self, service):
        """Return the `scheduler.Scheduler` kept here for a service.

        None where the configuration names no engines.
        """
        known = self.catalog.services.get(service)
        if known is None or known.engine is None:
            return None
        found = self.schedulers.get(service)
        if found is None:
            logs.event('scheduling_began', service=service)
            found = scheduler.Scheduler(known.engine.kv_tokens)
            self.schedulers[service] = found
        return found

    async def consult(self, ask):
        """Return what the scheduler of all VMs says, None without one."""
        if self.consultant is None:
            return None
        return await self.consultant.ask(ask)

    def pause(self, server_id, seconds):
        """Send a server nothing new for a while."""
        logs.event('server_paused', server=server_id, seconds=seconds)
        self.registry.pause(server_id, time.monotonic() + seconds)

    def forget(self, now):
        """Forget what is known of lives that are over."""
        self.registry.purge_lapsed(now)
        lives = self.registry.incarnations
        self.placer.forget(lives)
        self.outliers.forget(lives)
        for found in self.schedulers.values():
            found.forget(lives)

    async def _serve_plain(self, work, service):
        while True:
            server = await self.wait(
                work, lambda: self._place_plain(work, service)
            )
            work.place([server])
            try:
                outcome = await self._try_plain(work, server)
            finally:
                await self.wake(work.service)
            self.log_attempt(work, server, outcome)
            match outcome:
                case sending.Whole(answer, body):
                    if not self.is_worth_retry(work, answer):
                        return await self.deliver(work, answer, body)
                    self.next_try(work, server, outcome)
                case _:
                    self.next_try(work, server, outcome)

    def _place_plain(self, work, service):
        servers = self.servers(work)
        if not servers:
            raise refusals.no_server(work, self.retry_after_s())
        return self.placer.place_plain(
            servers, service.max_connections, time.monotonic()
        )

    async def _try_plain(self, work, server):
        may_repeat = work.route.is_repeatable
        dispatch = self.dispatch(work, server)
        work.sends += 1
        was_run, work.may_have_run = work.may_have_run, True
        wait_s = None
        if may_repeat and work.sends < work.route.max_servers:
            wait_s = max(MIN_TRY_S, work.left_s * TRY_SHARE)
        try:
            async with sending.within(wait_s):
                outcome = await self.sender.call(
                    work.request, dispatch, may_repeat
                )
        except curio.errors.TaskTimeout:
            self.sender.failed(server)
            return sending.Broken('silent')
        work.settle(outcome, was_run)
        return outcome

    def dispatch(self, work, server, **more):
        """Return the `traffic.Dispatch` of this request to a server."""
        return traffic.Dispatch(
            server, work.left_s, priority=work.route.priority, **more
        )

    def is_worth_retry(self, work, answer):
        """Say whether another server may do better than this failure."""
        return (
            answer.status >= 500
            and work.route.is_repeatable
            and work.sends < work.route.max_servers
            and work.left_s > MIN_TRY_S
            and self.budget.units >= 1.0
        )

    async def deliver(self, work, answer, body):
        """Write a whole answer to the caller.

        Raises `errors.BackendBroken` for one that would promise too much.
        """
        if answer.is_false_promise:
            raise refusals.broken()
        await work.reply.respond(answer.status, answer.headers, body)
        return 'whole' if answer.is_success else f'status_{answer.status}'

    def log_attempt(self, work, server, outcome):
        """Log an attempt that gave no answer."""
        if isinstance(outcome, (sending.Whole, sending.Streamed)):
            return
        logs.event(
            'attempt_failed',
            request=work.request.request_id,
            server=server.server_id,
            outcome=type(outcome).__name__,
            error=getattr(outcome, 'error', ''),
            send=work.sends,
            left_s=work.left_s,
            budget=self.budget.units,
        )

    def log_assignment(self, work, assignment):
        """Log where the scheduler of all VMs put a prompt."""
        logs.event(
            'prompt_assigned',
            request=work.request.request_id,
            decode=assignment.decode,
            prefill=assignment.prefill,
            fetch_from=assignment.fetch_from,
            tokens=assignment.tokens,
            expected_s=assignment.expected_s,
        )

    def next_try(self, work, server, outcome):
        """Allow one more send, or raise why there is none."""
        route = work.route
        if not isinstance(outcome, sending.Unsent):
            work.tried.add(server.incarnation)
        match outcome:
            case sending.Unreachable() | sending.Unsent():
                work.unreached += 1
                if work.unreached > MAX_UNREACHED:
                    raise refusals.no_server(work, self.retry_after_s())
                self.metrics.retried(metrics_module.Retry.CONNECT)
                return
            case sending.Refused():
                if work.sends > MAX_UNREACHED or not self.budget.spend():
                    raise refusals.refused(work, self.retry_after_s())
                self.metrics.retried(metrics_module.Retry.REFUSED)
            case _:
                if not route.is_repeatable or work.sends >= route.max_servers:
                    raise refusals.broken()
                if not self.budget.spend():
                    raise refusals.broken()
                self.metrics.retried(metrics_module.Retry.BROKEN)

    async def wait(self, work, place):
        """Return what ``place()`` finds, waiting while it finds None."""
        route = work.route
        line = self.lines.setdefault(work.service, waiting.Line(MAX_WAITING))
        if line.is_first(route.priority):
            found = place()
            if found is not None:
                return found
        now = time.monotonic()
        until_s = min(
            work.request.received_s + WAIT_SHARE * route.target_s,
            work.deadline_s,
        )
        ticket = line.join(route.priority, now, until_s)
        if ticket is None:
            raise refusals.overloaded(work, self.retry_after_s())
        try:
            return await self._wait_in(line, ticket, place, work)
        finally:
            line.leave(ticket)
            await self.wake(work.service)

    async def _wait_in(self, line, ticket, place, work):
        while True:
            wait_s = ticket.until_s - time.monotonic()
            if wait_s <= 0:
                raise refusals.overloaded(work, self.retry_after_s())
            ticket.turn.clear()
            if line.is_first(ticket.priority, ticket):
                found = place()
                if found is not None:
                    return found
            async with curio.ignore_after(wait_s):
                await ticket.turn.wait()

    async def wake(self, service):
        """Let the first in line try again, as a place may be free."""
        line = self.lines.get(service)
        first = line and line.first()
        if first:
            await first.turn.set()
