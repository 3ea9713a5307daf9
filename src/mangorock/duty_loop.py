"""Holds the duties of the system at one VM, and sends it what it needs.

The VM that ranks first for the duties acquires their lease in the platform's
store.  Every VM sends a sample of its demand once a second to the two VMs that
rank first, so that a successor knows the demand already.  A VM whose samples
get no response from the first one takes the next in rank for it.
"""

import time

import attrs
import curio

from mangorock import demand
from mangorock import errors
from mangorock import leadership
from mangorock import logs
from mangorock import messages

SUBJECT = 'duties'
KEY = 'mangorock/duties'
INTERVAL_S = 0.25
SAMPLE_INTERVAL_S = 1.0
# Time until the other VMs, which start at the same time, are known.
START_S = 1.5
# Time between two attempts to acquire the lease while another VM holds it.
ACQUIRE_INTERVAL_S = 1.0
# A VM that ranks first but did not answer for this long is not waited for.
SILENT_S = 2.5
# Rows per datagram, which must not exceed its maximum size.
MAX_ROWS = 12


@attrs.define
class DutyLoop:
    """Runs the duties of this VM if it holds them.

    ``counter`` and ``totals`` are the `demand.DemandCounter` and the
    `demand.DemandTotals` of this VM.  ``jobs`` have a coroutine
    ``step(holder)`` each, called while this VM holds the duties, and
    ``reset()``, called when it begins to.  ``usage`` is the
    `usage_exchange.UsageExchange`, None where usage is not reported.
    ``acted_fence`` is the token with which the jobs did something last.
    """

    endpoint: object
    holder: leadership.LeaseHolder
    counter: demand.DemandCounter
    totals: demand.DemandTotals
    jobs: list = attrs.field(factory=list)
    usage: object = None
    clock: object = time.monotonic
    asked: set = attrs.field(factory=set)
    heard_s: dict = attrs.field(factory=dict)
    sampled_s: float = float('-inf')
    tried_s: float = float('-inf')
    started_s: float | None = None
    acted_fence: int | None = None

    async def run(self):
        """Sample the demand and do what is due, for ever."""
        while True:
            await curio.sleep(INTERVAL_S)
            try:
                self.send_samples()
                if self.usage is not None:
                    self.usage.send_due()
                await self.step()
            except errors.MangorockError as exc:
                logs.event('duties_not_done', error=exc.message)
            except Exception as exc:
                # What one step could not do, the next one may.
                logs.exception('duties_failed', error=repr(exc))

    async def step(self):
        """Hold the duties if this VM ranks first, and do what is due."""
        now = self.clock()
        if self.started_s is None:
            self.started_s = now
        if now - self.started_s < START_S:
            return
        known_fence = self.holder.fence
        first = self.endpoint.directory.ranked_peers(SUBJECT, now, 1)[0]
        is_replacing = known_fence is not None and self._is_silent(first, now)
        if first is not None and not is_replacing:
            # The lease of a VM that no longer ranks first lapses.
            self.holder.drop_expired()
            return
        is_due = now - self.tried_s >= ACQUIRE_INTERVAL_S
        if known_fence is None and not is_due:
            return
        self.tried_s = now
        if not await self.holder.ensure():
            return
        if self.holder.fence != self.acted_fence:
            # Another VM may have held the duties since.
            self.acted_fence = self.holder.fence
            for job in self.jobs:
                job.reset()
        for job in self.jobs:
            await job.step(self.holder)

    def _is_silent(self, peer, now):
        """Say whether the VM that ranks first has not answered lately."""
        if peer is None:
            return False
        return now - self.heard_s.get(peer.vm, float('-inf')) > SILENT_S

    def send_samples(self):
        """Send this VM's demand to the VMs that rank first."""
        now = self.clock()
        if now - self.sampled_s < SAMPLE_INTERVAL_S:
            return
        self.sampled_s = now
        directory = self.endpoint.directory
        rows = [attrs.astuple(sample) for sample in self.counter.take()]
        for vm in self.asked:
            directory.on_timeout(vm, now)
        self.asked.clear()
        for peer in directory.ranked_peers(SUBJECT, now, 2):
            if peer is None:
                self._record(self.holder.vm, rows, now)
                continue
            self.asked.add(peer.vm)
            message = messages.DemandSample(
                self.holder.vm, rows[:MAX_ROWS], self._own_unix_s()
            )
            self.endpoint.send_to(peer, message)

    def _record(self, vm, rows, now):
        self.totals.on_sample(vm, [demand.Sample(*row) for row in rows], now)

    def _own_unix_s(self):
        """Return this VM's time, 0 where no report needs it."""
        return self.usage.own_unix_s() if self.usage is not None else 0.0

    def _on_time(self, vm, unix_s):
        if self.usage is not None and unix_s:
            self.usage.on_time(vm, unix_s)

    def on_message(self, message):
        """Take a message of another VM; return the answer, None for none."""
        now = self.clock()
        match message:
            case messages.DemandSample(vm, rows, unix_s):
                self._record(vm, rows, now)
                self._on_time(vm, unix_s)
                return messages.DemandTaken(self.holder.vm, self._own_unix_s())
            case messages.DemandTaken(vm, unix_s):
                self._on_time(vm, unix_s)
                self.asked.discard(vm)
                self.heard_s[vm] = now
                self.endpoint.directory.on_reply(vm)
            case messages.UsageCounts() | messages.UsageTaken():
                if self.usage is not None:
                    return self.usage.on_message(message)
        return None
