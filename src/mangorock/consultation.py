"""Asks one entry VM to schedule the generations of all, over UDP.

For each service, every VM ranks the VMs of its region by the same hash, and
the first one that replies is the scheduler.  There is no election and no
consensus: a reply is advice, and a VM that gets none in time places the prompt
by itself.  So a network partition, a frozen VM or a lost datagram delays a
request by `REPLY_TIMEOUT_S` at most, and affects only two requests in
`directory.SKIP_S`.  A prompt that is queued there is asked for again every
`REFRESH_S`, which notices a VM that was lost meanwhile.

A datagram is a JSON list: the class name of a message in ``messages``, a
request number that the reply repeats, and the fields of the message.  One of
an unknown class, as another build may send it, is dropped.
"""

import itertools
import socket
import time

import attrs
import curio
import curio.io
import orjson

from mangorock import accounting
from mangorock import logs
from mangorock import messages
from mangorock import registry
from mangorock import replies
from mangorock import turns

# Ten round trips between failure domains, and less than the prefill of a
# prompt.
REPLY_TIMEOUT_S = 0.04
MAX_DATAGRAM_BYTES = 2048
# Time after which the answer to a queued request is asked for again.
REFRESH_S = 0.2
# Interval at which waiting prompts are assigned, which bounds the cost of many
# outcomes in a short time.
WAITING_INTERVAL_S = 0.006
# Fields that a message has only if they are not empty.
NEWER_FIELDS = 'account', 'avoided'
MESSAGES = {kind.__name__: kind for kind in messages.KINDS}


def encode(number, message):
    """Return the datagram for a message."""
    fields = attrs.asdict(message)
    for name in NEWER_FIELDS:
        if not fields.get(name, True):
            # A VM of an earlier build does not know this field.
            del fields[name]
    return orjson.dumps([type(message).__name__, number, fields])


def decode(data):
    """Return (number, message), or raise `ValueError`."""
    try:
        kind, number, fields = orjson.loads(data)
        if type(number) is not int:
            raise ValueError(f'{number!r} is not a request number')
        return number, MESSAGES[kind](**fields)
    except (ValueError, TypeError, KeyError) as exc:
        raise ValueError(f'not a valid scheduler message: {exc!r}')


class SchedulerEndpoint:
    """Sends and handles the messages to and from the scheduler.

    Each VM has one, with `start` and `close`.  ``schedulers(service)`` returns
    the local `scheduler.Scheduler` of a service, or None if it has no known
    engine.  ``servers(service)`` returns the servers that may be used, and
    ``pause(server_id, seconds)`` stops the use of one.
    ``on_stage_request(service, server_id, stage)``, the coroutine
    ``on_part_message(message)``, ``on_server_limit(message)`` and
    ``on_duty_message(message)``, which returns an answer or None, are set
    after construction.
    """

    def __init__(self, directory, schedulers, servers, pause):
        self.directory = directory
        self.schedulers = schedulers
        self.servers = servers
        self.pause = pause
        self.on_stage_request = None
        self.on_part_message = None
        self.on_duty_message = None
        self.on_server_limit = None
        self.request_numbers = itertools.count(1)
        self.pending_replies = {}
        self.waiting_services = set()
        self.has_waiting = curio.Event()
        self.raw_socket = None
        self.sock = None
        self.tasks = []

    async def start(self, address):
        """Bind to ``address`` and start to receive."""
        self.raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.raw_socket.bind(address)
        self.sock = curio.io.Socket(self.raw_socket)
        for loop in (self._receive, self._serve_waiting):
            self.tasks.append(await curio.spawn(loop, daemon=True))

    async def close(self):
        """Stop receiving; may be called twice."""
        if not self.tasks:
            return
        while self.tasks:
            await self.tasks.pop().cancel()
        await self.sock.close()

    async def ask(self, make_request):
        """Return the scheduler's `Assignment` or `Rejection`, or None.

        ``make_request()`` returns the `messages.PlacementRequest` with the
        times that are left now.  None says that no scheduler answered.
        """
        request, answer = make_request(), None
        service = request.service
        peer = self.directory.scheduler_of(service, time.monotonic())
        number = next(self.request_numbers)
        pending = self.pending_replies[number] = replies.PendingReply()
        try:
            if peer is None:
                answer = await self._ask_here(make_request, pending)
            else:
                answer = await self._ask_peer(
                    make_request, number, pending, peer
                )
            return answer
        finally:
            del self.pending_replies[number]
            if not isinstance(answer, messages.Assignment):
                self.report_outcome(
                    messages.Outcome(
                        service, request.request_id, messages.NOT_PREFILLED
                    )
                )

    async def _ask_here(self, make_request, pending):
        """Return the answer of this VM's own scheduler."""
        while True:
            answer = await self._place(make_request(), pending)
            if isinstance(answer, messages.Queued):
                answer = await pending.take(REFRESH_S)
                if answer is None:
                    continue
            return answer

    async def _ask_peer(self, make_request, number, pending, peer):
        """Return the answer of another VM, or None if it is silent."""
        while True:
            request, sent_s = make_request(), time.monotonic()
            self._send(number, request, peer.address)
            answer = await pending.take(REPLY_TIMEOUT_S)
            if answer is None:
                self._record_silence(request, peer, sent_s)
                return None
            self.directory.on_reply(peer.vm)
            if isinstance(answer, messages.Queued):
                answer = await pending.take(REFRESH_S)
            if answer is not None and not isinstance(answer, messages.Queued):
                return answer

    def _record_silence(self, request, peer, sent_s):
        now = time.monotonic()
        self.directory.on_timeout(peer.vm, now)
        logs.event(
            'scheduler_silent',
            request=request.request_id,
            service=request.service,
            vm=peer.vm,
            waited_s=now - sent_s,
        )

    def report_outcome(self, outcome):
        """Send an `Outcome` to the scheduler; it may be lost."""
        now = time.monotonic()
        peer = self.directory.scheduler_of(outcome.service, now)
        if peer is None:
            self._record_outcome(outcome)
        else:
            self._send(0, outcome, peer.address)

    def report_pace(self, pace):
        """Send a `StreamPace` to the scheduler; it may be lost."""
        now = time.monotonic()
        peer = self.directory.scheduler_of(pace.service, now)
        if peer is None:
            self._record_pace(pace)
        else:
            self._send(0, pace, peer.address)

    def request_stage(self, service, server_id, stage):
        """Send a `StageRequest` to the stage controller; it may be lost."""
        peer = self.directory.stage_controller_of(service, time.monotonic())
        if peer is None:
            self.on_stage_request(service, server_id, stage)
        else:
            request = messages.StageRequest(service, server_id, stage.value)
            self._send(0, request, peer.address)

    def announce_away(self, service, server_id, seconds):
        """Tell all VMs to send nothing to an engine for some seconds."""
        self.pause(server_id, seconds)
        self.broadcast(messages.EnginePause(service, server_id, seconds))

    def broadcast(self, message):
        """Send a message to all other VMs; it may be lost."""
        for peer in self.directory.all_peers:
            self._send(0, message, peer.address)

    def _send(self, number, message, address):
        try:
            # Never blocks: a full send buffer drops the datagram as a full
            # link does.
            self.raw_socket.sendto(encode(number, message), address)
        except OSError as exc:
            logs.debug('datagram_not_sent', to=address[0], error=repr(exc))

    async def _receive(self):
        turn = turns.Turn(turns.Turns())
        while True:
            if turn.is_over:
                await turn.end()
            turn.count()
            try:
                data, sender = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # Linux reports here that an earlier datagram reached no open
                # socket.
                logs.debug('datagram_refused', error=repr(exc))
                continue
            turn.add_credit(len(data))
            try:
                number, message = decode(data)
            except ValueError as exc:
                logs.event('datagram_malformed', sender=sender, error=exc)
                continue
            try:
                await self._handle(number, message, sender)
            except Exception as exc:
                # One message must not end the exchange with all VMs.
                logs.exception(
                    'datagram_failed', sender=sender, error=repr(exc)
                )

    async def _handle(self, number, message, sender):
        match message:
            case messages.PlacementRequest():
                answer = await self._place(
                    message, replies.RemoteReply(number, sender)
                )
                if answer is not None:
                    self._send(number, answer, sender)
            case messages.Outcome():
                self._record_outcome(message)
            case messages.StreamPace():
                self._record_pace(message)
            case messages.StageRequest():
                stage = registry.Stage(message.stage)
                self.on_stage_request(message.service, message.server, stage)
            case messages.EnginePause():
                self.pause(message.server, message.seconds)
            case (
                messages.CrashReport()
                | messages.PartsServed()
                | messages.PartQuarantined()
            ):
                await self.on_part_message(message)
            case messages.ServerLimit():
                self.on_server_limit(message)
            case (
                messages.DemandSample()
                | messages.DemandTaken()
                | messages.UsageCounts()
                | messages.UsageTaken()
            ):
                self._handle_duty_message(number, message, sender)
            case _:
                pending = self.pending_replies.get(number)
                if pending is not None:
                    await pending.put(message)

    def _handle_duty_message(self, number, message, sender):
        if self.on_duty_message is None:
            return
        answer = self.on_duty_message(message)
        if answer is not None:
            self._send(number, answer, sender)

    def send_to(self, peer, message):
        """Send a message to one VM; it may be lost."""
        self._send(0, message, peer.address)

    async def _place(self, request, reply):
        """Return the local scheduler's answer, or None if it has none."""
        found = self.schedulers(request.service)
        if found is None:
            return None
        servers = self.servers(request.service)
        answer, others = found.place(request, servers, time.monotonic(), reply)
        if isinstance(answer, messages.Queued):
            self.waiting_services.add(request.service)
            await self.has_waiting.set()
        accounting.log_refusals(request.service, found.backlog)
        await self._deliver(others)
        return answer

    async def _assign_waiting(self, service):
        """Assign the waiting prompts of a service that are due."""
        found = self.schedulers(service)
        if found is not None and found.backlog.prompts:
            servers = self.servers(service)
            answers = found.assign_waiting(servers, time.monotonic())
            accounting.log_refusals(service, found.backlog)
            await self._deliver(answers)
        if found is None or not found.backlog.prompts:
            self.waiting_services.discard(service)

    async def _serve_waiting(self):
        """Assign waiting prompts periodically, for ever."""
        while True:
            await self.has_waiting.wait()
            self.has_waiting.clear()
            while self.waiting_services:
                await curio.sleep(WAITING_INTERVAL_S)
                for service in list(self.waiting_services):
                    try:
                        await self._assign_waiting(service)
                    except Exception as exc:
                        # The prompts are asked for again.
                        logs.exception(
                            'waiting_not_served',
                            service=service,
                            error=repr(exc),
                        )

    async def _deliver(self, answers):
        for prompt, message in answers:
            match prompt.reply:
                case replies.RemoteReply(number, address):
                    self._send(number, message, address)
                case replies.PendingReply():
                    await prompt.reply.put(message)

    def _record_pace(self, pace):
        found = self.schedulers(pace.service)
        if found is not None:
            servers = self.servers(pace.service)
            found.record_pace(pace, servers, time.monotonic())

    def _record_outcome(self, outcome):
        found = self.schedulers(outcome.service)
        if found is not None:
            servers = self.servers(outcome.service)
            found.record_outcome(outcome, servers, time.monotonic())
