"""Carries the claim shards' calls to the platform.

One task owns each shard: it receives submissions over a queue, runs the
calls that the `claims.Shard` asks for, and answers through the ticket, a
queue of one.  Submissions that arrive while a write is under way wait and
go out together in the next one.
"""

import time
import uuid

import attrs
import curio
import curio.errors
import orjson

from mangorock import claims
from mangorock import errors
from mangorock import logs

CLAIM_TIMEOUT_S = 5.0


@attrs.define
class Claim:
    """A claim that this daemon holds for one request."""

    key: str
    claim_id: str


class Claimer:
    """Gives claims and records how they ended."""

    def __init__(self, platform, clock=time.time):
        self.platform = platform
        self.clock = clock
        self.queues = {}
        self.tasks = []

    async def claim(self, account, route, idempotency_key):
        """Return ``(Claim, None)``, or ``(None, Entry)`` of an earlier one.

        Raises `errors.ClaimUnavailable` when it could not be recorded;
        nothing has been sent to a backend server then.
        """
        key = claims.key_of(account, route, idempotency_key)
        claim = Claim(key, uuid.uuid4().hex)
        entry = self._entry(claim, claims.Kind.CLAIMED)
        reply = await self._submit(entry)
        match reply.outcome:
            case claims.Outcome.ACCEPTED:
                return claim, None
            case claims.Outcome.FOUND:
                return None, reply.found
            case claims.Outcome.FULL:
                raise errors.ClaimUnavailable(
                    'the claim log is full; retry without a key only if a '
                    'second run does no harm, or wait',
                    retry_after_s=60,
                )
        raise errors.ClaimUnavailable(
            'the idempotency key could not be recorded, the platform does '
            'not answer; retry with the same key later',
            retry_after_s=5,
        )

    async def finish(self, claim, status, body):
        """Record the answer, so that a repeat gets it again."""
        entry = attrs.evolve(
            self._entry(claim, claims.Kind.DONE), status=status, body=body
        )
        await self._record(entry)

    async def release(self, claim):
        """Give the key back after a request that certainly has not run."""
        await self._record(self._entry(claim, claims.Kind.RELEASED))

    async def _record(self, entry):
        try:
            reply = await self._submit(entry)
        except errors.ClaimUnavailable:
            reply = claims.Reply(None, claims.Outcome.UNAVAILABLE)
        if reply.outcome is not claims.Outcome.ACCEPTED:
            # The key stays claimed: repeats are refused, never run twice.
            logs.warning(
                'claim_not_recorded',
                kind=entry.kind.value,
                outcome=reply.outcome.value,
            )

    def _entry(self, claim, kind):
        return claims.Entry(claim.key, claim.claim_id, kind, self.clock())

    async def _submit(self, entry):
        number = claims.shard_of(entry.key)
        queue = self.queues.get(number)
        if queue is None:
            queue = self.queues[number] = curio.Queue()
            task = await curio.spawn(self._own_shard, number, queue)
            self.tasks.append(task)
        ticket = curio.Queue(1)
        await queue.put(claims.Submit(ticket, entry))
        try:
            async with curio.timeout_after(CLAIM_TIMEOUT_S):
                return await ticket.get()
        except curio.errors.TaskTimeout:
            if entry.kind is claims.Kind.CLAIMED:
                await curio.spawn(
                    self._release_late, ticket, entry, daemon=True
                )
            raise errors.ClaimUnavailable(
                'the idempotency key could not be recorded in time; retry '
                'with the same key later',
                retry_after_s=5,
            )

    async def _release_late(self, ticket, entry):
        """Give a key back whose claim landed after it was refused."""
        reply = await ticket.get()
        if reply.outcome is claims.Outcome.ACCEPTED:
            await self.release(Claim(entry.key, entry.claim_id))

    async def _own_shard(self, number, queue):
        shard = claims.Shard()
        while True:
            event = await queue.get()
            submits = [event]
            while not queue.empty():
                submits.append(await queue.get())
            shard.waiting += submits[:-1]
            await self._run(number, shard, submits[-1])

    async def _run(self, number, shard, event):
        pending = shard.handle(event, self.clock())
        while pending:
            action = pending.pop(0)
            match action:
                case claims.Reply():
                    if action.ticket is not None:
                        await action.ticket.put(action)
                    continue
                case claims.Load():
                    event = await self._load(number, action.first)
                case claims.Write():
                    event = await self._write(number, action)
            pending += shard.handle(event, self.clock())

    async def _load(self, number, first):
        try:
            if first is None:
                return claims.Loaded(await self._load_all(number))
            return claims.Loaded(await self._load_tail(number, first))
        except errors.PlatformUnavailable:
            return claims.Unavailable()

    async def _load_all(self, number):
        prefix = claims.prefix_of(number)
        found = await self.platform.list_keys(prefix)
        return {
            int(key[len(prefix) :]): (entry.value, entry.version)
            for key, entry in found.items()
        }

    async def _load_tail(self, number, first):
        """Read slots from ``first`` to the one after the last full one."""
        slots = {}
        while True:
            slot = first % claims.SLOTS
            entry = await self.platform.get(claims.slot_key(number, slot))
            slots[slot] = (entry.value, entry.version)
            if not entry.version:
                return slots
            data = orjson.loads(entry.value)
            if data['n'] < first or not claims.is_full(data['entries']):
                return slots
            first += 1

    async def _write(self, number, action):
        key = claims.slot_key(number, action.slot)
        try:
            done, version = await self.platform.compare_and_swap(
                key, action.text, action.expected
            )
        except errors.OutcomeUnknown:
            return claims.Lost()
        except errors.PlatformUnavailable:
            return claims.Unavailable()
        return claims.Written(version) if done else claims.Refused()

    async def close(self):
        """Stop the shards' tasks."""
        for task in self.tasks:
            await task.cancel()
        self.tasks.clear()
        self.queues.clear()
