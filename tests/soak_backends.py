"""The backend servers of the soak test."""

import random
import re

import curio
import orjson

from tests import soak_world
from tests import workers

# ``full`` refuses the request as not executed, ``cut`` closes the connection
# in the middle of the answer, ``foreign`` sends an answer to another request
# first, ``extra`` sends a second answer and ``hang`` executes the request but
# closes the connection after 6 s without an answer.  On streams, ``foreign``
# has no effect and ``extra`` acts like ``cut``.  ``silent`` pauses before a
# part of an answer that is sound and complete.
FAULTS = ('fine', 'full', 'cut', 'foreign', 'extra', 'hang', 'silent')
BREAKING_FAULTS = frozenset(('cut', 'foreign', 'extra', 'hang'))
SILENCE_RANGE_S = (0.4, 2.2)
# Share of the refusals that are written once more, before the next answer on
# the connection, and the longest pauses around that.
COPY_SHARE = 0.5
COPY_PAUSES_S = (0.0, 0.0, 0.05)
REFUSAL_STATUSES = (429, 503)
# The first line of an answer that may name a limit.  That of a server that
# was not meant does not.
LIMITED_HEAD = re.compile(rb'HTTP/1\.1 (?!421)')


def refusal(request, status):
    """Return the response to a request that was not run."""
    return workers.response_head(
        request, b'X-Not-Executed: 1', b'Content-Length: 0', status=status
    )


class Server(workers.Worker):
    """A backend server that records executions and injects faults.

    ``place`` is its name until it is replaced.  ``copies`` has the refusals
    to be written again, by connection; ``spell`` is the `soak_limits.Spell`
    while it names a limit.
    """

    def __init__(self, name, service, checker, rng, stage=None):
        super().__init__(name, service, self._run, stage=stage)
        self.place, self.replacements = name, 0
        self.checker, self.rng = checker, rng
        self.copy_rng = random.Random(rng.random())
        self.fault, self.fault_share = 'fine', 0.3
        self.refuses_all, self.refused = False, set()
        self.copies, self.spell = {}, None

    def proxied_entry(self, port, state='ready', sequence=1):
        """Return the server's store entry with the address of its proxy."""
        entry = self.entry(state, sequence)
        entry['address'] = f'127.0.0.1:{port}'
        return entry

    def replace(self, is_renamed):
        """Go on as another server, with another id or only a later start."""
        self.born += 1
        self.spell = None
        if is_renamed:
            self.replacements += 1
            self.name = f'{self.place}.{self.replacements}'

    def _run(self, request):
        response = self._respond(request)
        parts = [response] if isinstance(response, bytes) else response
        # Reports, and handles that are freed, have no id.
        if request.request_id:
            now = soak_world.now()
            is_accepted = request.request_id not in self.refused
            self.checker.arrivals.record_arrival(
                request, self.service, is_accepted, now
            )
            self.refused.discard(request.request_id)
            if self.spell is not None:
                self.spell.arrivals.append((now, request.request_id))
                parts = self._name_limit(parts, now)
            copy = self.copies.pop(request.connection, None)
            if not is_accepted and self.copy_rng.random() < COPY_SHARE:
                self.copies[request.connection] = parts[0]
            if copy is not None:
                before_s, after_s = self.copy_rng.choices(COPY_PAUSES_S, k=2)
                self.checker.counts['copies', 'sent'] += 1
                parts = [before_s, copy, after_s, *parts]
        return parts

    def _name_limit(self, parts, now):
        """Add the limit to the heads of the parts."""
        if self.spell.named_s is None:
            self.spell.named_s = now
        line = b'\r\nServer-Limit: %.1f\r\nX-Limit-Label: %s\r\n' % (
            self.spell.per_s,
            self.spell.label.encode(),
        )
        return [
            part.replace(b'\r\n', line, 1)
            if isinstance(part, bytes) and LIMITED_HEAD.match(part)
            else part
            for part in parts
        ]

    def _respond(self, request):
        if request.headers.get('x-expect-instance', self.name) != self.name:
            self.refused.add(request.request_id)
            return refusal(request, 421)
        if self.refuses_all and request.request_id:
            self.refused.add(request.request_id)
            return refusal(request, self.rng.choice(REFUSAL_STATUSES))
        if request.method == 'DELETE' or 'x-serving-stage' in request.headers:
            handle = orjson.dumps({'handle': f'h{self.rng.random()}'})
            return [0.02, workers.whole_response(request, handle)]
        is_faulty = self.rng.random() < self.fault_share
        fault = self.fault if is_faulty else 'fine'
        if fault == 'full':
            self.refused.add(request.request_id)
            return refusal(request, self.rng.choice(REFUSAL_STATUSES))
        kind = soak_world.kind_of(request.target)
        self.checker.record_run(request.request_id, kind, self.name)
        if fault in BREAKING_FAULTS:
            self.checker.broken.add(request.request_id)
        if fault == 'hang':
            return [6.0, workers.CLOSE]
        if kind in ('stream', 'once'):
            return self._stream(request, fault)
        return self._whole(request, fault)

    def _whole(self, request, fault):
        body = soak_world.answer_body(request.request_id)
        answer = workers.whole_response(request, body)
        work_s = self.rng.uniform(0.005, 0.05)
        if fault == 'silent':
            work_s += self.rng.uniform(*SILENCE_RANGE_S)
        if fault == 'cut':
            return [
                work_s,
                answer[: -self.rng.randrange(1, 300)],
                workers.CLOSE,
            ]
        if fault == 'foreign':
            other = workers.whole_response(
                request, b'another', request_id='other'
            )
            return [work_s, other, answer]
        if fault == 'extra':
            return [work_s, answer, workers.whole_response(request, b'again')]
        return [work_s, answer]

    def _stream(self, request, fault):
        first = int(request.headers.get('last-event-id', 0)) + 1
        parts = [workers.response_head(request, b'Transfer-Encoding: chunked')]
        cut_at = self.rng.randrange(first, soak_world.EVENTS + 2)
        for number in range(first, soak_world.EVENTS + 1):
            piece = workers.event_chunks(number, number)
            if fault in ('cut', 'extra') and number == cut_at:
                return [*parts, piece[: len(piece) // 2], workers.CLOSE]
            if fault == 'silent' and number == cut_at:
                parts.append(self.rng.uniform(*SILENCE_RANGE_S))
            parts += [self.rng.uniform(0.005, 0.03), piece]
        return [*parts, b'0\r\n\r\n']


async def refuse_services(servers, rng, end_s):
    """Have all servers of a service refuse everything, at times."""
    while True:
        await curio.sleep(rng.uniform(0.5, 4.0))
        service = rng.choice(('desk', 'annex', 'llm'))
        refuse_s = rng.uniform(0.5, 4.0)
        if soak_world.now() + refuse_s > end_s:
            return
        chosen = [s for s in servers if s.service == service]
        for server in chosen:
            server.refuses_all = True
        await curio.sleep(refuse_s)
        for server in chosen:
            server.refuses_all = False
