"""Reports each window of usage once, as a duty.

The VM that holds the duties closes a window, writes its report into one key of
the store by compare-and-swap and only then sends it.  The windows in that key
only grow, so that no two reports of a window differ and no earlier one follows
a later one.  A successor first sends what it finds there once more.

A store that was restored from an older copy has an older report than the last
one.  Which windows were reported after it, and with which counts, is not known
then.  So a report has the era in which it was written, and after one of an
earlier era none of a window follows that may have been reported in that era.
"""

import attrs
import orjson

from mangorock import duty_calls
from mangorock import eras as store_eras
from mangorock import errors
from mangorock import logs
from mangorock import usage
from mangorock import usage_exchange

KEY = 'mangorock/usage'
# Delays between attempts to send a report, the last one for all further ones.
ATTEMPT_DELAYS_S = (0.3, 0.6, 1.2)


@attrs.frozen
class Stored:
    """The last window that may have been reported, and the key's position.

    ``revision`` is 0 where there is no key yet, and ``window`` None where
    there was no report.
    """

    revision: int
    window: int | None


def encode_report(report, era=0):
    """Return the value of the store's key for a `duty_calls.UsageReport`."""
    fields = {'window': report.window, 'counts': report.counts, 'era': era}
    return orjson.dumps(fields)


def decode_report(value):
    """Return the `duty_calls.UsageReport` in a value of the store's key.

    Raises `ValueError` for another value.
    """
    window, counts, _ = _decode_fields(value)
    return duty_calls.UsageReport(window, counts)


def decode_era(value):
    """Return the era in which a report was written, 0 if it is not known.

    Raises `ValueError` for another value.
    """
    return _decode_fields(value)[2]


def _decode_fields(value):
    try:
        data = orjson.loads(value)
        window, counts = data['window'], data['counts']
        era = data.get('era', 0)
    except (ValueError, LookupError, TypeError, AttributeError) as exc:
        raise ValueError(f'not a usage report: {exc!r}')
    if type(window) is not int or not isinstance(counts, dict):
        raise ValueError(f'not a usage report: window {window!r}')
    if type(era) is not int:
        raise ValueError(f'not a usage report: era {era!r}')
    return window, counts, era


@attrs.define
class Unsent:
    """A report that is in the store and not certain to be taken.

    ``missing`` VMs are not in it, -1 where another VM wrote it.
    """

    report: duty_calls.UsageReport
    missing: int
    attempts: int = 0
    begun_s: float = 0.0
    next_s: float = 0.0


@attrs.define
class UsageReports:
    """Reports the windows, in order, while this VM holds the duties.

    ``exchange`` is the `usage_exchange.UsageExchange`, ``api`` the
    `duty_calls.PlatformApi`.  ``is_fenced`` says that the platform checks
    fencing tokens.  ``stored`` is None while the store's key is not known.
    """

    exchange: usage_exchange.UsageExchange
    store: object
    api: object
    metrics: object
    is_fenced: bool
    stored: Stored | None = None
    unsent: Unsent | None = None

    @property
    def windows(self):
        """Return the `usage.Windows`."""
        return self.exchange.counter.windows

    def reset(self):
        """Read the store's key again, as another VM held the duties."""
        self.stored = self.unsent = None

    async def step(self, holder):
        """Report what is due while ``holder`` may act."""
        try:
            if self.stored is None:
                await self._read(holder)
            elif self.unsent is None:
                await self._commit_next(holder)
        except errors.MangorockError as exc:
            # Whether the write took place is not known.
            self.reset()
            logs.debug('usage_not_stored', error=exc.message)
        if self.unsent is not None:
            await self._send(holder)

    async def _read(self, holder):
        """Read the last report, and send it again as its end is unknown."""
        if not holder.may_act():
            return
        item = await self.store.read(KEY)
        if item is None:
            # A copy may be older than the first report.
            is_copy = self.store.eras.has_changed
            self.stored = Stored(0, self._last_ended() if is_copy else None)
            return
        try:
            report = decode_report(item.value)
            is_copy = decode_era(item.value) < store_eras.era_of(item.revision)
        except ValueError as exc:
            logs.warning('usage_report_malformed', key=KEY, error=exc)
            # What was reported is unknown, so that only later windows are.
            now = self.windows.at(self.exchange.unix_s())
            self.stored = Stored(item.revision, now)
            return
        last = report.window
        if is_copy:
            last = max(last, self._last_ended())
            self._drop(report.window + 1, last - report.window, 'unknown')
        self.stored = Stored(item.revision, last)
        self.unsent = Unsent(report, -1)

    def _last_ended(self):
        """Return the last window that ended before this era was noticed.

        A later one cannot have been reported in an earlier era.
        """
        exchange = self.exchange
        ago_s = exchange.clock() - self.store.eras.since_s
        return self.windows.at(exchange.unix_s() - ago_s) - 1

    async def _commit_next(self, holder):
        """Write the report of the next window, if it is to be closed."""
        unix_s = self.exchange.unix_s()
        window = self._next_window(unix_s)
        ended_s = unix_s - self.windows.end_s(window)
        if ended_s < self.windows.all_sent_s:
            return
        missing = self._missing(window)
        if missing and ended_s < self.windows.close_s:
            return
        if not holder.may_act():
            return
        counts = self.exchange.collector.totals(window)
        report = duty_calls.UsageReport(window, counts)
        revision = await self.store.swap(
            KEY,
            encode_report(report, self.store.eras.era),
            self.stored.revision,
        )
        if revision is None:
            # Another VM, or a write that was thought lost, was first.
            self.reset()
            return
        self.stored = Stored(revision, window)
        self.unsent = Unsent(report, missing)

    def _next_window(self, unix_s):
        """Return the next window to report; drop those that are late."""
        oldest = self.windows.oldest(unix_s)
        if self.stored.window is None:
            # What began before this system has counted nothing.
            known = [*self.exchange.collector.parts, self.windows.at(unix_s)]
            return max(oldest, min(known))
        window = self.stored.window + 1
        if window < oldest:
            self._drop(window, oldest - window, 'past_due')
            self.stored = attrs.evolve(self.stored, window=oldest - 1)
        return max(window, oldest)

    def _drop(self, window, count, reason):
        if count <= 0:
            return
        self.metrics.add('usage_missed', count)
        logs.event(
            'usage_not_reported', window=window, windows=count, reason=reason
        )

    def _missing(self, window):
        """Return how many known VMs have not reported a window."""
        directory = self.exchange.endpoint.directory
        peers = {peer.vm for peer in directory.all_peers}
        known = {self.exchange.vm, *peers}
        missing = len(known - self.exchange.collector.reported(window))
        # Until the VMs are listed for the first time there may be others.
        return missing if directory.peers else max(1, missing)

    async def _send(self, holder):
        unsent, now = self.unsent, self.exchange.clock()
        if now < unsent.next_s or not holder.may_act():
            return
        unsent.begun_s = unsent.begun_s or now
        unsent.attempts += 1
        end = await self.api.call(unsent.report, holder.fence)
        match end:
            case duty_calls.CallEnd.TAKEN:
                self._on_taken(unsent)
            case duty_calls.CallEnd.CONFLICT if self.is_fenced:
                # Another VM has a higher token and sends it from the store.
                holder.lose()
                self.reset()
            case _:
                self._repeat_later(unsent, end)

    def _on_taken(self, unsent):
        self.unsent = None
        self.metrics.add('usage_reported')
        logs.event(
            'usage_reported',
            window=unsent.report.window,
            accounts=len(unsent.report.counts),
            requests=sum(unsent.report.counts.values()),
            missing=unsent.missing,
            attempts=unsent.attempts,
        )

    def _repeat_later(self, unsent, end):
        delays = ATTEMPT_DELAYS_S
        delay_s = delays[min(unsent.attempts, len(delays)) - 1]
        now = self.exchange.clock()
        unsent.next_s = now + delay_s
        window = unsent.report.window
        is_late = self.windows.is_late(window, self.exchange.unix_s())
        if is_late and now - unsent.begun_s > self.windows.late_s:
            # A report that is refused for ever must not hold up all others.
            self._drop(window, 1, end.value)
            self.unsent = None


def make_reports(vm, terms, endpoint, store, api, metrics):
    """Return the `UsageReports` of a VM; ``terms`` are `bounds.DutyTerms`."""
    windows = usage.Windows(terms.window_s, terms.late_s)
    exchange = usage_exchange.UsageExchange(
        vm,
        endpoint,
        usage.UsageCounter(windows, usage.TrueTime()),
        usage.Collector(windows),
    )
    return UsageReports(exchange, store, api, metrics, terms.is_fenced)
