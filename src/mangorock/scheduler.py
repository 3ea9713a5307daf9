"""Schedules the generations of all entry VMs on the engines of one service.

A VM that places prompts alone sees only its own.  It cannot know the length
of each engine's queue, nor which engines have a document in their cache.  So
one VM, chosen by hashing, schedules for all (see ``consultation``).

A prompt waits in one `backlog.Backlog`, which decides who is next, until an
engine is free for it; `choice.Choice` decides where it goes.  Only little
more than what an engine is busy with is sent to it, so that a more urgent
prompt need not wait for what came before.

The scheduler's state is advisory and may be lost at any time.  A VM that gets
no answer places its prompts by itself, and two VMs that schedule at once only
make placement less efficient.
"""

import attrs

from mangorock import backlog as backlogs
from mangorock import choice as choices
from mangorock import engines as engine_models
from mangorock import messages
from mangorock import outliers as outliers_module

# An engine gets its next prompt when its queue is expected to end within this
# time: the outcome and the assignment take some messages between VMs.
LOOKAHEAD_S = 0.08
# Prompts that one pass considers, which bounds its cost; those behind them
# need an engine that the first ones do not.
MAX_CONSIDERED = 8
# Waiting prompts of one service; more cannot all be answered.
MAX_WAITING = 512
MAX_HANDOVER_S = 0.2
# Share of the KV cache that holds documents of earlier requests; running
# requests use the rest.
CACHE_SHARE = 0.8
# Weight of the newest sample in `Scheduler.miss_share`.
MISS_SHARE_WEIGHT = 0.1
# A job whose outcome was not reported is dropped after this time.
JOB_TIMEOUT_S = 4.0
MIN_RETRY_AFTER_S = 0.2
# A prompt waits for this multiple of its target latency after its target; it
# may come back later, and those in time are not delayed by it.
LATE_WAIT_TARGETS = 1.0


@attrs.define
class Scheduler:
    """The queues and cached documents of one service; a state machine.

    ``profile`` is the `catalog.EngineProfile` of the service.  The servers
    that callers pass in are those that may be used according to this VM's
    registry.

    A document that is unknown here may have been prefilled before this VM
    began to schedule.  A new document goes to the decode engine that
    rendezvous hashing selects unless that one is full, so an unknown document
    is looked for there; ``miss_share`` is the share of such documents that was
    not found.
    """

    profile: object
    engines: dict = attrs.field(factory=dict)
    jobs: dict = attrs.field(factory=dict)
    handovers_s: dict = attrs.field(factory=dict)
    last_asked_s: float = float('-inf')
    miss_share: float = 1.0
    backlog: backlogs.Backlog = attrs.field(factory=backlogs.Backlog)
    model: engine_models.PrefillModel = attrs.field(
        factory=engine_models.PrefillModel
    )
    outliers: outliers_module.OutlierDetector = attrs.field(
        factory=outliers_module.OutlierDetector
    )

    def engine(self, server):
        """Return the `engines.Engine` of an incarnation in any stage."""
        found = self.engines.get(server.incarnation)
        if found is None:
            cache = engine_models.DocumentCache(
                CACHE_SHARE * self.profile.kv_tokens
            )
            found = self.engines[server.incarnation] = engine_models.Engine(
                cache, self.profile.slots
            )
        return found

    def place(self, request, servers, now, reply=None):
        """Return the answer to a request and those that became due by it.

        The first is an `Assignment`, `Queued` or `Rejection`, or None if no
        engine is known; ``reply(message)`` is called later for a request that
        is queued.  The others are pairs of a `backlog.WaitingPrompt` and its
        message.
        """
        self.last_asked_s = now
        if self.backlog.refresh(request, reply, now):
            return messages.Queued(0.0), []
        self._expire_jobs(now)
        options = self._make_choice(servers, now)
        best = options.best(request, request.target_left_s)
        if best is None:
            return None, []
        prompt = backlogs.WaitingPrompt(
            request,
            reply,
            now + request.target_left_s,
            now + request.left_s,
            best.shortest_s,
            best.cost_s,
            waits_until_s=now + self._longest_wait_s(request),
            band=self.backlog.bands.band(request),
        )
        expected_s = self._expected_wait_s(prompt, options, best, now)
        rejection = messages.Rejection(max(MIN_RETRY_AFTER_S, expected_s))
        others = []
        is_hopeless = prompt.is_lost(now + expected_s)
        if not is_hopeless and len(self.backlog.prompts) >= MAX_WAITING:
            displaced = self.backlog.take_displaced(prompt, now)
            if displaced is None:
                is_hopeless = True
            else:
                others.append((displaced, rejection))
        if is_hopeless:
            self.backlog.shares.on_refusal(
                prompt.flow,
                request.request_id,
                now,
                now + rejection.retry_after_s,
            )
            self.backlog.bands.on_end(prompt.band, False)
            self.backlog.note_refusal(prompt, backlogs.Cause.HOPELESS, now)
            return rejection, []
        self.backlog.add(prompt)
        answer = messages.Queued(max(0.0, expected_s))
        for found, message in self._assign_waiting(options, now):
            if found is prompt:
                answer = message
            else:
                others.append((found, message))
        return answer, others

    @staticmethod
    def _longest_wait_s(request):
        """Return how long a request may wait until its first event."""
        late_wait_s = LATE_WAIT_TARGETS * request.target_s
        return max(0.0, request.target_left_s) + late_wait_s

    def assign_waiting(self, servers, now):
        """Return the waiting prompts that are due and their messages."""
        if not self.backlog.prompts:
            return []
        self._expire_jobs(now)
        return self._assign_waiting(self._make_choice(servers, now), now)

    def _make_choice(self, servers, now):
        usable = self.outliers.select_healthy(servers, now)
        states = []
        for server in usable:
            engine = self.engine(server)
            states.append(
                choices.EngineState(
                    server,
                    engine,
                    engine.queue_s(now),
                    engine.count_streams(now),
                    engine.usable_slots(now),
                    self.model.slowdown(server),
                )
            )
        return choices.Choice(states, self.model, self.miss_share, now)

    def _expected_wait_s(self, prompt, options, best, now):
        """Return the expected time until an engine is free for a prompt.

        The prompts that go before it are shared by all engines.
        """
        before_s = self.backlog.work_before_s(prompt, now)
        return best.queue_s + before_s / len(options.states)

    def _assign_waiting(self, options, now):
        """Assign prompts in order while an engine is free.

        A prompt whose best engine is busy waits for it, which keeps others
        from that engine but not from the rest.
        """
        answers = [
            (prompt, messages.Rejection(self._retry_after_s(options)))
            for prompt in self.backlog.take_lost(now)
        ]
        if not options.has_free_engine(LOOKAHEAD_S):
            return answers
        ordered = self.backlog.ordered(now)
        outrun = self.backlog.take_outrun(ordered, len(options.states), now)
        if outrun:
            rejection = messages.Rejection(self._retry_after_s(options))
            answers += [(prompt, rejection) for prompt in outrun]
            ordered = [p for p in ordered if p not in outrun]
        late = []
        for prompt in ordered[:MAX_CONSIDERED]:
            best = self._best_candidate(prompt, options)
            if best is None:
                continue
            is_late = now + best.first_event_s > prompt.target_at_s
            if is_late and not self.backlog.is_owed(prompt):
                late.append((prompt, best))
                continue
            if best.queue_s <= LOOKAHEAD_S:
                answers.append((prompt, self._assign(prompt, best, now)))
            options.reserve(best)
            if not options.has_free_engine(LOOKAHEAD_S):
                return answers
        # What the prompts in time leave free.
        for prompt, best in late:
            is_free = best.prefiller.queue_s <= LOOKAHEAD_S
            if is_free and not prompt.is_lost(now + best.queue_s):
                answers.append((prompt, self._assign(prompt, best, now)))
                options.reserve(best)
        return answers

    @staticmethod
    def _best_candidate(prompt, options):
        """Return the best candidate, and note its times with the prompt."""
        target_left_s = prompt.target_at_s - options.now
        best = options.best(prompt.request, target_left_s)
        if best is not None:
            prompt.shortest_s, prompt.cost_s = best.shortest_s, best.cost_s
        return best

    def _retry_after_s(self, options):
        """Return when the prompts that wait now will have been assigned."""
        queued_s = sum(state.queue_s for state in options.states)
        waiting_s = self.backlog.work_s()
        engine_count = max(1, len(options.states))
        return max(MIN_RETRY_AFTER_S, (queued_s + waiting_s) / engine_count)

    def _assign(self, prompt, candidate, now):
        request = prompt.request
        self.backlog.remove(request.request_id, True)
        self.backlog.hand_on_position(prompt, now)
        self.backlog.on_assigned()
        self._remove_job(request.request_id, False, now)
        engine, decode = candidate.prefiller.engine, candidate.decode.engine
        job = engine_models.Job(
            candidate.prefiller.server,
            candidate.tokens,
            candidate.cost_s,
            now,
            candidate.unknown_tokens,
            bool(engine.jobs),
        )
        engine.add_job(request.request_id, job, now)
        self.jobs[request.request_id] = job
        done_s = now + candidate.queue_s + candidate.cost_s
        for holder in (engine, decode):
            holder.cache.touch(request.request_id, request.own_tokens, done_s)
            if request.shared_tokens:
                holder.cache.touch(
                    request.document, request.shared_tokens, done_s
                )
        decode.stream_starts_s.append(now)
        candidate.decode.streams += 1
        fetch_from = candidate.fetch_from
        return messages.Assignment(
            decode=candidate.decode.server.server_id,
            prefill=''
            if candidate.is_direct
            else candidate.prefiller.server.server_id,
            fetch_from=fetch_from.server_id if fetch_from else '',
            tokens=candidate.tokens,
            expected_s=candidate.queue_s + candidate.cost_s,
            cost_s=candidate.cost_s,
        )

    def record_outcome(self, outcome, servers, now):
        """Update queues, failure records and loads from an `Outcome`."""
        self.backlog.remove(outcome.request_id)
        is_prefilled = outcome.seconds >= 0
        job = self._remove_job(outcome.request_id, is_prefilled, now)
        for server in servers:
            if server.server_id == outcome.failed:
                self.outliers.on_failure(server, now)
            elif is_prefilled and job is not None and server == job.server:
                self.outliers.on_success(server)
            if server.server_id == outcome.decode:
                self._record_first_event(server, job, outcome, now)

    def record_pace(self, pace, servers, now):
        """Update the pace of an engine from a `StreamPace`."""
        for server in servers:
            if server.server_id == pace.server:
                engine = self.engine(server)
                engine.add_stream(pace.events, pace.seconds)
                engine.learn_capacity(pace.events, pace.seconds, now)

    def _record_first_event(self, server, job, outcome, now):
        if outcome.slots:
            running = outcome.running + outcome.waiting
            self.engine(server).update_load(running, outcome.slots)
        found = self.handovers_s.pop(outcome.request_id, None)
        if found is not None:
            prefiller, prefilled_at_s = found
            seconds = min(MAX_HANDOVER_S, now - prefilled_at_s)
            for engine in (prefiller, self.engine(server)):
                engine.add_handover(seconds)

    def _remove_job(self, request_id, is_prefilled, now):
        """Remove a prompt; return its `engines.Job`, or None."""
        job = self.jobs.pop(request_id, None)
        if job is None:
            if not is_prefilled:
                self.handovers_s.pop(request_id, None)
            return None
        engine = self.engines.get(job.server.incarnation)
        if engine is None:
            return job
        busy_s = engine.remove_job(request_id, is_prefilled, now)
        if busy_s is not None:
            self._learn(job, busy_s)
            if job.server.is_prefill_only:
                self.handovers_s[request_id] = engine, now
        return job

    def _learn(self, job, busy_s):
        """Update the model, and the miss share if it was a guess."""
        if not job.unknown_tokens:
            self.model.observe(job.server, job.tokens, busy_s, job.is_queued)
            return
        guessed = int(self.miss_share * job.unknown_tokens)
        own_s = self.model.seconds(
            job.server, job.tokens - guessed, job.is_queued
        )
        document_s = job.unknown_tokens * self.model.token_s(job.server)
        share = min(1.0, max(0.0, (busy_s - own_s) / document_s))
        self.miss_share += MISS_SHARE_WEIGHT * (share - self.miss_share)

    def _expire_jobs(self, now):
        while self.jobs:
            request_id, job = next(iter(self.jobs.items()))
            if now - job.since_s < JOB_TIMEOUT_S:
                break
            self._remove_job(request_id, False, now)
        while self.handovers_s:
            request_id, (_, since_s) = next(iter(self.handovers_s.items()))
            if now - since_s < JOB_TIMEOUT_S:
                break
            del self.handovers_s[request_id]

    def learned_limits(self):
        """Yield (incarnation, slots, `capacity.Capacity`) where known."""
        for incarnation, engine in self.engines.items():
            if engine.learned.is_notable:
                yield incarnation, engine.slots, engine.learned

    def queue_s(self, server, now):
        """Return a server's queue with its share of the waiting prompts."""
        waiting_s = self.backlog.work_s() / max(1, len(self.engines))
        return self.engine(server).queue_s(now) + waiting_s

    def forget(self, incarnations):
        """Drop the state of engines that are not in ``incarnations``."""
        self.engines = {
            incarnation: engine
            for incarnation, engine in self.engines.items()
            if incarnation in incarnations
        }
        self.model.forget(incarnations)
        self.outliers.forget(incarnations)
