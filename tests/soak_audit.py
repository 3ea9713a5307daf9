"""Checks that every request of the soak test ended as it should.

A request that was sent on an open connection gets a whole answer or a
refusal, unless the soak test itself ended the process or broke off the
server's answer, the deadline passed within the answer, or the request
crossed the close of an idle connection.  What the callers saw is compared
with the logs of the VMs.
"""

import collections
import re

import attrs

from tests import soak_world

# Events in a VM's log that are never excused.
FAULT_EVENTS = frozenset(('request_failed', 'connection_failed'))
# A caller notices the end of a process or a connection within this time.
NOTICE_S = 0.5
# A network fault can delay or destroy data for this long after its end.
AFTER_FAULT_S = 1.0
# A VM closes idle connections this long after SIGTERM at the earliest.
CLOSE_IDLE_AFTER_S = 2.9
# Only requests that were sent this soon after SIGTERM may be cut by the end
# of the grace period, and only in its last sixth.
SENT_AFTER_TERM_S = 3.0
WORK_SHARE_OF_GRACE = 5 / 6
_CRASH = re.compile('Traceback|Crash|Error')
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


@attrs.define
class LogRecords:
    """What the log of one VM says of each request.

    ``ends`` maps request ids to the fields of ``request_done``, ``servers``
    to the ids of the servers that were tried.  ``unanswered`` holds the
    fields of each ``request_unanswered`` and ``faults`` whole lines.
    """

    ends: dict = attrs.field(factory=dict)
    servers: dict = attrs.field(factory=lambda: collections.defaultdict(set))
    unanswered: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)


def read_log(lines):
    """Return the `LogRecords` of the lines of a log."""
    records = LogRecords()
    for line in lines:
        fields = {
            name: value.strip('"') for name, value in _FIELD.findall(line)
        }
        event, request_id = fields.get('event'), fields.get('request', '')
        for key in ('server', 'decode', 'servers'):
            found = fields.get(key, '').split('+')
            records.servers[request_id].update(filter(None, found))
        is_expired_within = (
            event == 'connection_expired' and fields['has_started'] == 'True'
        )
        is_crash = event is None and _CRASH.search(line)
        if event in FAULT_EVENTS or is_expired_within or is_crash:
            records.faults.append(line.strip())
        elif event == 'request_done':
            records.ends[request_id] = fields
        elif event == 'request_unanswered':
            records.unanswered.append(fields)
    return records


@attrs.define
class Audit:
    """The evidence of one seed.

    ``logs`` maps the numbers of the VMs to `LogRecords`; ``disturbances``
    are (place, start, end) of network faults; ``least_idle_s``,
    ``least_timeout_s`` and ``least_grace_s`` are the shortest idle timeout,
    time limit and grace period in force at any time.
    """

    checker: object
    logs: dict
    disturbances: list
    least_idle_s: float
    least_timeout_s: float
    least_grace_s: float

    def run(self):
        """Record a violation for each request without an excuse."""
        attempts = self.checker.attempts
        for attempt in attempts.values():
            if attempt.progress == 'whole':
                continue
            excuse = self.find_excuse(attempt)
            self.checker.counts['excused', excuse] += 1
            self.checker.check(excuse, f'unanswered: {self.describe(attempt)}')
        for number, records in self.logs.items():
            for fields in records.unanswered:
                attempt = attempts.get(fields.get('request'))
                self.checker.check(
                    attempt and self.find_excuse(attempt),
                    f'vm-{number} logs request_unanswered: {fields}',
                )
            for line in records.faults:
                self.checker.violations.append(f'vm-{number} logs {line}')

    def describe(self, attempt):
        """Return the evidence on an attempt as text."""
        vm, end = attempt.vm, self._end(attempt)
        near = [
            (name, round(moment_s - attempt.sent_s, 3))
            for name, moment_s in vm.history
            if abs(moment_s - attempt.sent_s) < 10
        ]
        return (
            f'{attempt.request_id} ({attempt.kind}) at vm-{vm.number}: '
            f'{attempt.progress}, {attempt.error} after '
            f'{attempt.ended_s - attempt.sent_s:.3f} s, idle '
            f'{attempt.idle_s:.3f} s; {near}; {end}'
        )

    def _end(self, attempt):
        records = self.logs.get(attempt.vm.number, LogRecords())
        return records.ends.get(attempt.request_id)

    def find_excuse(self, attempt):
        """Return why the attempt may lack a whole answer, '' if it may not."""
        if attempt.manner != 'stay' or attempt.error == 'TaskCancelled':
            return 'caller left'
        if self._is_killed(attempt):
            return 'killed'
        if self._is_cut_by_grace(attempt):
            return 'grace period ended'
        if attempt.error == 'TaskTimeout':
            return 'paused' if self._is_paused(attempt) else ''
        if attempt.progress == 'none' and self._end(attempt) is None:
            return 'crossed' if self._is_crossing(attempt) else ''
        if attempt.progress == 'none':
            return ''
        if self._is_timed_out(attempt):
            return 'timeout'
        return 'server broke off' if self._is_broken_off(attempt) else ''

    def _has_event(self, attempt, name):
        span = attempt.sent_s, attempt.ended_s
        return any(
            soak_world.overlaps(span, moment_s - NOTICE_S, moment_s + NOTICE_S)
            for found, moment_s in attempt.vm.history
            if found == name
        )

    def _is_killed(self, attempt):
        return self._has_event(attempt, 'kill')

    def _is_cut_by_grace(self, attempt):
        """Return whether a server was still at work as the grace ended."""
        if not self.checker.runs.get(attempt.request_id):
            return False
        term_s = self._last_term_s(attempt)
        if term_s is None or not self._has_event(attempt, 'exit'):
            return False
        work_until_s = term_s + WORK_SHARE_OF_GRACE * self.least_grace_s
        return (
            attempt.sent_s <= term_s + SENT_AFTER_TERM_S
            and attempt.ended_s >= work_until_s
        )

    def _last_term_s(self, attempt):
        """Return when the VM last got SIGTERM before the attempt ended."""
        return max(
            (
                moment_s
                for name, moment_s in attempt.vm.history
                if name == 'term' and moment_s <= attempt.ended_s
            ),
            default=None,
        )

    def _is_paused(self, attempt):
        return any(
            soak_world.overlaps(
                (attempt.sent_s, attempt.ended_s),
                moment_s,
                moment_s + NOTICE_S,
            )
            for name, moment_s in attempt.vm.history
            if name in ('pause', 'resume')
        )

    def _is_crossing(self, attempt):
        """Return whether an idle connection was closed without a read."""
        if self._has_event(attempt, 'exit'):
            return True
        term_s = self._last_term_s(attempt)
        is_stopping = (
            term_s is not None
            and attempt.ended_s - term_s >= CLOSE_IDLE_AFTER_S
            and attempt.idle_s > 0
        )
        return is_stopping or attempt.idle_s >= 0.95 * self.least_idle_s

    def _is_timed_out(self, attempt):
        end = self._end(attempt)
        return (
            end is not None
            and end['end'] == 'timeout'
            and float(end['seconds']) >= self.least_timeout_s - 0.01
        )

    def _is_broken_off(self, attempt):
        if attempt.request_id in self.checker.broken:
            return True
        records = self.logs.get(attempt.vm.number, LogRecords())
        # A server that was replaced has the name of its place and a number.
        places = {
            name.partition('.')[0]
            for name in records.servers.get(attempt.request_id, ())
        }
        span = attempt.sent_s, attempt.ended_s
        return any(
            place in places
            and soak_world.overlaps(span, start_s, end_s + AFTER_FAULT_S)
            for place, start_s, end_s in self.disturbances
        )
