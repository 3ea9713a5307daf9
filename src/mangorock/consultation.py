"""Asks one entry VM to schedule the long prompts of all, over UDP.

For each service, every VM ranks the VMs of its region by the same hash, and
the first one that replies is the scheduler.  There is no election and no
consensus: a reply is advice, and a VM that gets none in time places the prompt
by itself.  So a network partition, a frozen VM or a lost datagram delays a
request by `REPLY_TIMEOUT_S` at most, and affects only two requests in
`SKIP_S`.

A datagram is a JSON list: the class name of a message in ``scheduler``, a
request number that the reply repeats, and the fields of the message.
"""

import itertools
import socket
import time

import attrs
import curio
import curio.io
import orjson

from mangorock import logs
from mangorock import membership
from mangorock import registry
from mangorock import scheduler

# Ten round trips between failure domains, and less than the prefill of a
# prompt.
REPLY_TIMEOUT_S = 0.04
# Consecutive timeouts, since datagrams get lost, after which a VM is skipped,
# and for how long.
MAX_TIMEOUTS = 2
SKIP_S = 2.0
# VMs with less than this share of the largest VM's cores do not schedule,
# because one VM serves all.
MIN_CAPACITY_SHARE = 0.5
MAX_DATAGRAM_BYTES = 2048
MESSAGES = {
    kind.__name__: kind
    for kind in (
        scheduler.Ask,
        scheduler.Assignment,
        scheduler.Away,
        scheduler.Busy,
        scheduler.Hopeless,
        scheduler.Notice,
        scheduler.Wish,
    )
}


@attrs.frozen
class Peer:
    """An entry VM; ``address`` is (host, port), ``capacity`` its cores."""

    vm: str
    region: str
    address: tuple
    capacity: float = 1.0


def encode(number, message):
    """Return the datagram for a message."""
    fields = attrs.asdict(message)
    return orjson.dumps([type(message).__name__, number, fields])


def decode(data):
    """Return (number, message), or raise `ValueError`."""
    try:
        kind, number, fields = orjson.loads(data)
        return number, MESSAGES[kind](**fields)
    except (ValueError, TypeError, KeyError) as exc:
        raise ValueError(f'not a valid scheduler message: {exc!r}')


def encode_peer(peer):
    """Return the value that a VM stores in its key to announce itself."""
    return orjson.dumps([peer.region, *peer.address, peer.capacity])


def decode_peer(item):
    """Return the `Peer` in a VM's key, or None if it has no valid address."""
    if not item.value:
        return None
    vm = item.key.rpartition('/')[2]
    try:
        region, host, port, capacity = orjson.loads(item.value)
        socket.inet_aton(host)
        return Peer(vm, str(region), (host, int(port)), float(capacity))
    except (ValueError, TypeError, OSError) as exc:
        logs.warning('vm_malformed', key=item.key, error=repr(exc))
        return None


@attrs.define
class Directory:
    """The peers of this VM, and which of them schedules; a state machine.

    ``me`` is this VM's own `Peer`, ``all_peers`` are all others, ``peers`` are
    those of the region that may schedule, possibly including this VM.
    """

    me: Peer
    all_peers: list = attrs.field(factory=list)
    peers: dict = attrs.field(factory=dict)
    timeouts: dict = attrs.field(factory=dict)
    skipped_until_s: dict = attrs.field(factory=dict)

    def update_peers(self, peers):
        """Replace the known VMs; the list may include this one."""
        self.all_peers = [peer for peer in peers if peer.vm != self.me.vm]
        near = [peer for peer in peers if peer.region == self.me.region]
        largest = max(peer.capacity for peer in [self.me, *near])
        self.peers = {
            peer.vm: peer
            for peer in [*near, self.me]
            if peer.capacity >= MIN_CAPACITY_SHARE * largest
        }

    def scheduler_of(self, service, now):
        """Return the `Peer` that schedules, or None if this VM does."""
        return self._peer(self._ranked(service, now)[0])

    def stage_controller_of(self, service, now):
        """Return the `Peer` that is ranked second, or None for this VM.

        It orders the stage changes.  If only one VM may schedule, it does
        both.
        """
        return self._peer(self._ranked(service, now)[:2][-1])

    def _ranked(self, service, now):
        vms = [
            vm for vm in self.peers if self.skipped_until_s.get(vm, 0.0) <= now
        ]
        return membership.rank(service, vms) or [self.me.vm]

    def _peer(self, vm):
        return None if vm == self.me.vm else self.peers[vm]

    def on_reply(self, vm):
        """Reset the timeout count of a VM that replied."""
        self.timeouts.pop(vm, None)

    def on_timeout(self, vm, now):
        """Count a missing reply; skip the VM for a while if they repeat."""
        count = self.timeouts.pop(vm, 0) + 1
        if count < MAX_TIMEOUTS:
            self.timeouts[vm] = count
        else:
            self.skipped_until_s[vm] = now + SKIP_S


class SchedulerEndpoint:
    """Sends and handles the messages to and from the scheduler.

    Each VM has one, with `start` and `close`.  ``schedulers(service)`` returns
    the local `scheduler.Scheduler` of a service, or None if it has no known
    engine.  ``servers(service)`` returns the servers that may be used, and
    ``pause(server_id, seconds)`` stops the use of one.
    ``on_stage_request(service, server_id, stage)`` is set after construction.
    """

    def __init__(self, directory, schedulers, servers, pause):
        self.directory = directory
        self.schedulers = schedulers
        self.servers = servers
        self.pause = pause
        self.on_stage_request = None
        self.request_numbers = itertools.count(1)
        self.pending_replies = {}
        self.raw_socket = None
        self.sock = None
        self.task = None

    async def start(self, address):
        """Bind to ``address`` and start to receive."""
        self.raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.raw_socket.bind(address)
        self.sock = curio.io.Socket(self.raw_socket)
        self.task = await curio.spawn(self._receive, daemon=True)

    async def close(self):
        """Stop receiving; may be called twice."""
        if self.task is not None:
            await self.task.cancel()
            await self.sock.close()
            self.task = None

    async def ask(self, ask):
        """Return the scheduler's reply to an `Ask`, or None without one."""
        now = time.monotonic()
        peer = self.directory.scheduler_of(ask.service, now)
        if peer is None:
            return self._place(ask)
        number = next(self.request_numbers)
        answer = self.pending_replies[number] = PendingReply()
        self._send(number, ask, peer.address)
        try:
            async with curio.ignore_after(REPLY_TIMEOUT_S):
                await answer.event.wait()
        finally:
            del self.pending_replies[number]
        if answer.event.is_set():
            self.directory.on_reply(peer.vm)
        else:
            self.directory.on_timeout(peer.vm, now)
            logs.event(
                'scheduler_silent',
                request=ask.request_id,
                service=ask.service,
                vm=peer.vm,
                waited_s=time.monotonic() - now,
            )
        return answer.message

    def report_outcome(self, notice):
        """Send a `Notice` to the scheduler; it may be lost."""
        peer = self.directory.scheduler_of(notice.service, time.monotonic())
        if peer is None:
            self._record_outcome(notice)
        else:
            self._send(0, notice, peer.address)

    def request_stage(self, service, server_id, stage):
        """Send a `Wish` to the stage controller; it may be lost."""
        peer = self.directory.stage_controller_of(service, time.monotonic())
        if peer is None:
            self.on_stage_request(service, server_id, stage)
        else:
            wish = scheduler.Wish(service, server_id, stage.value)
            self._send(0, wish, peer.address)

    def announce_away(self, service, server_id, seconds):
        """Tell all VMs to send nothing to an engine for some seconds."""
        self.pause(server_id, seconds)
        away = scheduler.Away(service, server_id, seconds)
        for peer in self.directory.all_peers:
            self._send(0, away, peer.address)

    def _send(self, number, message, address):
        try:
            # Never blocks: a full send buffer drops the datagram as a full
            # link does.
            self.raw_socket.sendto(encode(number, message), address)
        except OSError as exc:
            logs.debug('datagram_not_sent', to=address[0], error=repr(exc))

    async def _receive(self):
        while True:
            try:
                data, sender = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # Linux reports here that an earlier datagram reached no open
                # socket.
                logs.debug('datagram_refused', error=repr(exc))
                continue
            try:
                number, message = decode(data)
            except ValueError as exc:
                logs.warning('datagram_malformed', sender=sender, error=exc)
                continue
            await self._handle(number, message, sender)

    async def _handle(self, number, message, sender):
        match message:
            case scheduler.Ask():
                answer = self._place(message)
                if answer is not None:
                    self._send(number, answer, sender)
            case scheduler.Notice():
                self._record_outcome(message)
            case scheduler.Wish():
                stage = registry.Stage(message.stage)
                self.on_stage_request(message.service, message.server, stage)
            case scheduler.Away():
                self.pause(message.server, message.seconds)
            case _:
                waiting = self.pending_replies.get(number)
                if waiting is not None:
                    waiting.message = message
                    await waiting.event.set()

    def _place(self, ask):
        found = self.schedulers(ask.service)
        if found is None:
            return None
        servers = self.servers(ask.service)
        return found.place(ask, servers, time.monotonic())

    def _record_outcome(self, notice):
        found = self.schedulers(notice.service)
        if found is not None:
            servers = self.servers(notice.service)
            found.record_outcome(notice, servers, time.monotonic())


@attrs.define(eq=False)
class PendingReply:
    """A reply that a request waits for."""

    event: curio.Event = attrs.field(factory=curio.Event)
    message: object = None
