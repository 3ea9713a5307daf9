"""Runs the claim shards and their calls to the platform.

Each shard has one task.  The task receives submissions from a queue, makes
the calls that `claims.Shard` requests, and sends each reply through the
ticket, a queue that holds one item.  Submissions that arrive during a write
are batched into the next one.
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
    """A claim on an idempotency key, held for one request."""

    key: str
    claim_id: str


class Claimer:
    """Claims idempotency keys and records the results of their requests."""

    def __init__(self, platform, clock=time.time):
        self.platform = platform
        self.clock = clock
        self.queues = {}
        self.tasks = []

    async def claim(self, account, route, idempotency_key):
        """Claim a key for a request.

        Returns ``(Claim, None)``, or ``(None, Entry)`` if the key already
        has an entry.  Raises `errors.ClaimUnavailable` if the claim could
        not be recorded; the request must then not be sent to a backend
        server.
        """
        key = claims.claim_key(account, route, idempotency_key)
        claim = Claim(key, uuid.uuid4().hex)
        entry = self._make_entry(claim, claims.Kind.CLAIMED)
        reply = await self._submit(entry)
        match reply.outcome:
            case claims.Outcome.ACCEPTED:
                return claim, None
            case claims.Outcome.FOUND:
                return None, reply.found
            case claims.Outcome.FULL:
                raise errors.ClaimUnavailable(
                    'the log of idempotency keys is full; retry later, or '
                    'retry without a key if running the request twice is '
                    'harmless',
                    retry_after_s=60,
                )
        raise errors.ClaimUnavailable(
            'the idempotency key could not be recorded because the platform '
            'is not responding; retry later with the same key',
            retry_after_s=5,
        )

    async def finish(self, claim, status, body):
        """Record the response, so that a retry receives the same one."""
        entry = attrs.evolve(
            self._make_entry(claim, claims.Kind.DONE), status=status, body=body
        )
        await self._append(entry)

    async def release(self, claim):
        """Release the key of a request that certainly has not run."""
        await self._append(self._make_entry(claim, claims.Kind.RELEASED))

    async def _append(self, entry):
        try:
            reply = await self._submit(entry)
        except errors.ClaimUnavailable:
            reply = claims.Reply(None, claims.Outcome.UNAVAILABLE)
        if reply.outcome is not claims.Outcome.ACCEPTED:
            # The key stays claimed, so retries are refused and the request
            # never runs twice.
            logs.warning(
                'claim_not_recorded',
                kind=entry.kind.value,
                outcome=reply.outcome.value,
            )

    def _make_entry(self, claim, kind):
        return claims.Entry(claim.key, claim.claim_id, kind, self.clock())

    async def _submit(self, entry):
        shard_number = claims.shard_number(entry.key)
        queue = self.queues.get(shard_number)
        if queue is None:
            queue = self.queues[shard_number] = curio.Queue()
            task = await curio.spawn(self._run_shard, shard_number, queue)
            self.tasks.append(task)
        ticket = curio.Queue(1)
        await queue.put(claims.Submit(ticket, entry))
        try:
            async with curio.timeout_after(CLAIM_TIMEOUT_S):
                return await ticket.get()
        except curio.errors.TaskTimeout:
            if entry.kind is claims.Kind.CLAIMED:
                await curio.spawn(
                    self._release_late_claim, ticket, entry, daemon=True
                )
            raise errors.ClaimUnavailable(
                'recording the idempotency key timed out; retry later with '
                'the same key',
                retry_after_s=5,
            )

    async def _release_late_claim(self, ticket, entry):
        """Release a claim that was recorded after its caller timed out."""
        reply = await ticket.get()
        if reply.outcome is claims.Outcome.ACCEPTED:
            await self.release(Claim(entry.key, entry.claim_id))

    async def _run_shard(self, shard_number, queue):
        shard = claims.Shard()
        while True:
            event = await queue.get()
            submits = [event]
            while not queue.empty():
                submits.append(await queue.get())
            shard.waiting += submits[:-1]
            await self._process_event(shard_number, shard, submits[-1])

    async def _process_event(self, shard_number, shard, event):
        pending = shard.handle(event, self.clock())
        while pending:
            action = pending.pop(0)
            match action:
                case claims.Reply():
                    if action.ticket is not None:
                        await action.ticket.put(action)
                    continue
                case claims.Load():
                    event = await self._load(shard_number, action.first_number)
                case claims.Write():
                    event = await self._write(shard_number, action)
            pending += shard.handle(event, self.clock())

    async def _load(self, shard_number, first_number):
        try:
            if first_number is None:
                return claims.Loaded(await self._load_all(shard_number))
            return claims.Loaded(
                await self._load_from(shard_number, first_number)
            )
        except errors.PlatformUnavailable:
            return claims.Unavailable()

    async def _load_all(self, shard_number):
        prefix = claims.shard_prefix(shard_number)
        found = await self.platform.list_keys(prefix)
        return {
            int(key[len(prefix) :]): (entry.value, entry.version)
            for key, entry in found.items()
        }

    async def _load_from(self, shard_number, first_number):
        """Read slots in sequence, beginning with ``first_number``.

        Stops after the first slot that is missing, not full, or left over
        from an earlier round of the ring.
        """
        slots = {}
        while True:
            slot = first_number % claims.SLOTS_PER_SHARD
            entry = await self.platform.get(
                claims.slot_key(shard_number, slot)
            )
            slots[slot] = (entry.value, entry.version)
            if not entry.version:
                return slots
            data = orjson.loads(entry.value)
            if data['n'] < first_number or not claims.is_full(data['entries']):
                return slots
            first_number += 1

    async def _write(self, shard_number, action):
        key = claims.slot_key(shard_number, action.slot)
        try:
            is_applied, version = await self.platform.compare_and_swap(
                key, action.text, action.expected
            )
        except errors.OutcomeUnknown:
            return claims.WriteUnknown()
        except errors.PlatformUnavailable:
            return claims.Unavailable()
        return (
            claims.Written(version) if is_applied else claims.WriteConflict()
        )

    async def close(self):
        """Stop the shards' tasks."""
        for task in self.tasks:
            await task.cancel()
        self.tasks.clear()
        self.queues.clear()
