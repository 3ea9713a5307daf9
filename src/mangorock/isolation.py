"""Keeps parts of prompts that crash engines away from the engines.

Each VM watches its own attempts: when a connection to an engine ends within
an answer and the engine then refuses connections, it has crashed.  The VM
tells all others by datagram what it had in progress there, so that all have
the same evidence, and `quarantine` decides.  Answers that clear a part go the
same way.  Nothing of this is sent for a request as such.

A decision goes to the other VMs by datagram, and to the platform's store
under a lease that lasts as long as the decision, for VMs that start later or
miss the datagram.  While the store does not answer, the datagrams suffice.
An operator lifts a quarantine by removing the key.
"""

import math
import time

import attrs
import curio
import orjson

from mangorock import errors
from mangorock import evidence
from mangorock import logs
from mangorock import messages
from mangorock import presence
from mangorock import quarantine as quarantines
from mangorock import sending

PREFIX = 'mangorock/quarantine/'
# Requests that a crash ended are noticed within this time of each other.
GATHER_S = 0.03
RESEND_DELAY_S = 0.05
DECIDE_ROUNDS = 4
EXPIRE_INTERVAL_S = 2.0
# Answered parts are reported together.
REPORT_DELAY_S = 0.05
# Rows per datagram, which must not exceed its maximum size.
MAX_USE_ROWS = 14
MAX_SERVED_ROWS = 24
# Ranges of the delay until a VM stores its own decision and that of another
# VM, which has probably been stored by then, and between its attempts.
STORE_DELAY_S = (0.0, 0.4)
STORE_OTHERS_DELAY_S = (2.0, 4.0)
STORE_RETRY_S = (1.0, 2.0)
# Interval at which the store is read, and after a failure at the start.
LIST_INTERVAL_S = 2.5
FIRST_RETRY_S = 0.5


@attrs.define
class Loss:
    """An engine that may have crashed, and the uses in progress there."""

    at_s: float
    uses: list = attrs.field(factory=list)


class Isolation:
    """Collects the evidence of this VM and carries out the decisions.

    ``gateway`` is the `gateway.Gateway`; its ``quarantine`` is the state.
    ``store`` is the platform's.  `run` and `follow` are to be spawned.
    """

    def __init__(self, gateway, store):
        self.gateway = gateway
        self.store = store
        self.losses = {}
        self.is_reporting = False
        self.has_evidence = curio.Event()

    @property
    def quarantine(self):
        """Return the state machine."""
        return self.gateway.quarantine

    async def on_attempt(self, context, server, outcome):
        """Take an attempt of a generation into account, however it ended."""
        now = time.monotonic()
        prompt = context.request.prompt
        match outcome:
            case sending.Streamed():
                cleared = self.quarantine.on_served(prompt, now)
                if cleared:
                    logs.event('part_cleared', parts=','.join(cleared))
                    await self._note_evidence()
                    await self._report_served()
            case sending.Broken(error) if error != sending.SILENT:
                begun_at_s = context.begun_at_s or now
                uses = evidence.uses_of(prompt, context.sent_at_s)
                if uses and now - begun_at_s < evidence.BEGUN_S:
                    await self._on_broken(server, uses, now)

    async def _on_broken(self, server, uses, now):
        loss = self.losses.get(server.incarnation)
        if loss is None:
            loss = self.losses[server.incarnation] = Loss(now)
            await curio.spawn(self._examine, server, loss, daemon=True)
        loss.uses += uses

    async def _examine(self, server, loss):
        """Report a crash if the engine refuses connections."""
        try:
            await curio.sleep(GATHER_S)
            # A server that stops as planned, or wants no requests, is not
            # probed.
            if not self.gateway.registry.is_usable(server, time.monotonic()):
                return
            has_crashed = await self._refuses_connections(server)
        finally:
            del self.losses[server.incarnation]
        now = time.monotonic()
        # A server that stops as planned reports that it is draining.
        if not has_crashed or not self.gateway.registry.is_usable(server, now):
            return
        logs.event(
            'engine_crash_suspected',
            server=server.server_id,
            started_ms=server.started_ms,
            parts=','.join(sorted({use.part_id for use in loss.uses})),
        )
        self.gateway.metrics.add('engine_crash_suspected')
        await self._add_crash(server.incarnation, loss.at_s, loss.uses, now)
        self._share_crash(server, loss)
        # Datagrams get lost at times.
        await curio.sleep(RESEND_DELAY_S)
        self._share_crash(server, loss)

    async def _refuses_connections(self, server):
        client = self.gateway.client
        try:
            exchange = await client.open(server.address, new_connection=True)
        except ConnectionRefusedError:
            return True
        except OSError:
            # Unreachable, as behind a broken link, is not crashed.
            return False
        await client.release(exchange)
        return False

    def _share_crash(self, server, loss):
        age_s = time.monotonic() - loss.at_s
        rows = [
            (
                use.part_id,
                use.prompt_id,
                use.position,
                loss.at_s - use.begun_s,
            )
            for use in loss.uses
        ]
        for start in range(0, len(rows), MAX_USE_ROWS):
            self._broadcast(
                messages.CrashReport(
                    server.server_id,
                    server.started_ms,
                    age_s,
                    rows[start : start + MAX_USE_ROWS],
                )
            )

    def _broadcast(self, message):
        endpoint = self.gateway.scheduler_endpoint
        if endpoint is not None:
            endpoint.broadcast(message)

    async def _add_crash(self, incarnation, at_s, uses, now):
        self.quarantine.add_crash(incarnation, at_s, uses, now)
        await self._note_evidence()
        await self._report_served()

    async def _report_served(self):
        """Tell other VMs of the answered parts, a moment later."""
        if self.quarantine.evidence.unreported and not self.is_reporting:
            self.is_reporting = True
            await curio.spawn(self._send_served, daemon=True)

    async def _send_served(self):
        await curio.sleep(REPORT_DELAY_S)
        self.is_reporting = False
        now = time.monotonic()
        rows = [
            (part_id, now - served_s)
            for part_id, served_s in self.quarantine.evidence.take_unreported(
                now
            )
        ]
        for start in range(0, len(rows), MAX_SERVED_ROWS):
            self._broadcast(
                messages.PartsServed(rows[start : start + MAX_SERVED_ROWS])
            )

    async def on_message(self, message):
        """Take over what another VM reports or decided."""
        now = time.monotonic()
        match message:
            case messages.CrashReport(server, started_ms, age_s, rows):
                at_s = now - age_s
                uses = [
                    evidence.PartUse(part, prompt, position, at_s - led_s)
                    for part, prompt, position, led_s in rows
                ]
                await self._add_crash((server, started_ms), at_s, uses, now)
            case messages.PartsServed(parts):
                for part_id, age_s in parts:
                    self.quarantine.merge_served(part_id, now - age_s)
                await self._note_evidence()
            case messages.PartQuarantined(part_id, term_s):
                term_s = min(term_s, quarantines.MAX_TERM_S)
                if self.quarantine.adopt(part_id, term_s, now):
                    self._enforce(part_id, term_s, 'vm')
                    await self._apply(part_id, STORE_OTHERS_DELAY_S)

    async def run(self):
        """Decide when there is evidence, and lift what is over, forever."""
        while True:
            async with curio.ignore_after(EXPIRE_INTERVAL_S):
                await self.has_evidence.wait()
            self.has_evidence.clear()
            if self.quarantine.is_deciding:
                await self._decide()
            for part_id in self.quarantine.expire(time.monotonic()):
                self._log_lifted(part_id, 'term')

    async def _decide(self):
        """Decide on the evidence until it has settled."""
        for _ in range(DECIDE_ROUNDS):
            await curio.sleep(quarantines.SETTLE_S / (DECIDE_ROUNDS - 1))
            for verdict in self.quarantine.decide(time.monotonic()):
                await self._carry_out(verdict)

    async def _note_evidence(self):
        if self.quarantine.is_deciding:
            await self.has_evidence.set()

    async def _carry_out(self, verdict):
        self._broadcast(
            messages.PartQuarantined(verdict.part_id, verdict.term_s)
        )
        self._enforce(
            verdict.part_id,
            verdict.term_s,
            'evidence',
            engines=verdict.engines,
            prompts=verdict.prompts,
        )
        await self._apply(verdict.part_id, STORE_DELAY_S)

    def _enforce(self, part_id, term_s, source, **reasons):
        logs.warning(
            'part_quarantined',
            part=part_id,
            term_s=term_s,
            source=source,
            **reasons,
        )
        self.gateway.metrics.add('part_quarantined')

    def _log_lifted(self, part_id, source):
        logs.event('quarantine_lifted', part=part_id, source=source)
        self.gateway.metrics.add('quarantine_lifted')

    async def _apply(self, part_id, delay_s):
        """Refuse the requests that wait, and store the quarantine."""
        await self.gateway.wake_waiters()
        await curio.spawn(self._keep_storing, part_id, delay_s, daemon=True)

    async def _keep_storing(self, part_id, delay_s):
        """Store a quarantine unless another VM has done so."""
        rng = self.gateway.rng
        await curio.sleep(rng.uniform(*delay_s))
        while self.quarantine.is_unstored(part_id, time.monotonic()):
            try:
                revision = await self._create_key(part_id)
            except (errors.PlatformUnavailable, presence.LeaseLost) as exc:
                logs.event(
                    'quarantine_not_stored', part=part_id, error=repr(exc)
                )
                await curio.sleep(rng.uniform(*STORE_RETRY_S))
                continue
            if revision is not None:
                self.quarantine.on_stored(part_id, revision)
            # Else another VM has stored it, and a listing tells when.
            return

    async def _create_key(self, part_id):
        """Return the revision of the new key, None if the key exists."""
        term = self.quarantine.quarantined[part_id]
        left_s = self.quarantine.left_s(part_id, time.monotonic())
        lease = await self.store.grant_lease(left_s)
        return await self.store.create(
            PREFIX + part_id, encode_term(term.term_s), lease
        )

    async def follow(self):
        """Read the stored quarantines again and again, forever.

        All but the first listing may be some seconds old, which costs the
        store little: the datagrams are faster.
        """
        is_known = False
        while True:
            try:
                items, revision = await self._list(is_stale_allowed=is_known)
                await self.on_listing(items, revision)
                is_known = True
            except errors.PlatformUnavailable as exc:
                # The mirrors log that the store is unavailable.
                logs.debug('quarantines_not_read', error=exc.message)
            except Exception as exc:
                # Whatever one item or answer holds, the next may be read.
                logs.exception(
                    'store_not_followed', prefix=PREFIX, error=repr(exc)
                )
            wait_s = LIST_INTERVAL_S if is_known else FIRST_RETRY_S
            await curio.sleep(
                wait_s * (0.75 + 0.5 * self.gateway.rng.random())
            )

    async def _list(self, is_stale_allowed):
        """Return all stored items and the revision of the first page."""
        items, after, revision = [], '', None
        while True:
            page = await self.store.list_page(
                PREFIX, after, is_stale_allowed=is_stale_allowed
            )
            items += page.items
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.items:
                return items, revision
            after = page.items[-1].key

    async def on_listing(self, items, revision):
        """Take over the stored quarantines, and lift those removed since."""
        now = time.monotonic()
        listed = {item.key.removeprefix(PREFIX): item for item in items}
        for part_id in self.quarantine.removed(listed, revision):
            self.quarantine.lift(part_id)
            self._log_lifted(part_id, 'store')
        for part_id in self.quarantine.lost(listed, revision):
            logs.event('quarantine_stored_anew', part=part_id)
            await curio.spawn(
                self._keep_storing, part_id, STORE_OTHERS_DELAY_S, daemon=True
            )
        for part_id, item in listed.items():
            term_s = decode_term(item)
            if term_s is None:
                continue
            if self.quarantine.adopt(part_id, term_s, now, item.revision):
                self._enforce(part_id, term_s, 'store')
                await self.gateway.wake_waiters()


def encode_term(term_s):
    """Return the stored value of a quarantine of ``term_s``."""
    return orjson.dumps({'term_s': term_s})


def decode_term(item):
    """Return the term in a key of the store, or None if it has none."""
    try:
        term_s = float(orjson.loads(item.value)['term_s'])
        if not 0.0 < term_s < math.inf:
            raise ValueError(f'{term_s} is not a term')
        return min(term_s, quarantines.MAX_TERM_S)
    except (ValueError, TypeError, LookupError) as exc:
        logs.warning('quarantine_malformed', key=item.key, error=repr(exc))
        return None
