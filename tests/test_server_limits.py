"""Tests that several VMs together keep to the limits that servers name."""

import itertools
import time
import unittest

import curio

from tests import fleet
from tests import test_front
from tests import vm_fleet

run = test_front.run
LIMITED = vm_fleet.LimitedServer
# A server without a limit gets several times what one with a limit of 2 a
# second may get.
RATE_PER_S = 20.0
# From the first answers until windows of the rule have passed.
SECONDS = vm_fleet.BEGIN_S + vm_fleet.WINDOW_S + 1.0
HOLD_SECONDS = 12.0
# Three VMs send a server without a limit about 8 a second.
FEW_PER_S = 8.0
DEADLINE_S = 4.0
# Time to answer, with which each VM always has requests in flight at one
# server, so that it turns to the other one as well.
WORK_S = 0.25


def statuses(calls):
    """Return the statuses of calls, in order, each once."""
    return sorted({call.status for call in calls})


class ServerLimits(unittest.TestCase):
    """What arrives at servers, over windows of the users' rule."""

    def assert_held(self, server, limit_per_s, until_s=None, but=()):
        """Check that no window has more requests than the limit allows."""
        moments_s = [
            moment
            for moment in server.counted(but)
            if until_s is None or moment <= until_s
        ]
        self.assertLessEqual(
            vm_fleet.most_in_window(moments_s),
            vm_fleet.allowed_requests(limit_per_s),
            server.name,
        )

    def assert_told_early(self, calls):
        """Check that callers are refused long before their deadline."""
        for call in calls:
            if call.status != 200:
                self.assertEqual(503, call.status)
                self.assertLess(call.seconds, DEADLINE_S / 2)
                self.assertGreater(float(call.headers['retry-after']), 0.0)

    def assert_served_throughout(self, calls, begin_s, end_s, share):
        """Check that calls are served in each window, and ``share`` in all."""
        served_s = sorted(c.ended_s for c in calls if c.status == 200)
        inside = [s for s in served_s if begin_s <= s <= end_s]
        marks_s = [begin_s, *inside, end_s]
        for first, second in itertools.pairwise(marks_s):
            self.assertLess(second - first, vm_fleet.WINDOW_S)
        self.assertGreaterEqual(len(inside), share)


class PlainServers(ServerLimits):
    """Three VMs that send requests to servers of a plain service."""

    @run
    async def test_one_server_gets_no_more_than_its_limit(self):
        # Guards against VMs that read no limit, or each take all of it.
        limited = LIMITED('w1', b'2.0')
        others = [LIMITED('w2'), LIMITED('w3')]
        async with vm_fleet.VmFleet(3, limited, *others) as cluster:
            calls = await cluster.call_steadily(RATE_PER_S, HOLD_SECONDS)
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0)
        # Guards against a server that is left out for its limit.
        self.assertGreater(len(limited.counted()), 4)

    @run
    async def test_callers_beyond_all_limits_are_refused_at_once(self):
        # Guards against callers that wait for their turn until their
        # deadline, and against limits of which little is used.
        servers = [LIMITED(f'w{n}', b'2.0') for n in range(3)]
        async with vm_fleet.VmFleet(
            3, *servers, timeout_s=DEADLINE_S + 1.0
        ) as cluster:
            calls = await cluster.call_steadily(
                RATE_PER_S, HOLD_SECONDS, deadline_s=DEADLINE_S
            )
        for server in servers:
            self.assert_held(server, 2.0)
        self.assert_told_early(calls)
        begin_s = calls[0].sent_s + vm_fleet.BEGIN_S
        end_s = max(call.sent_s for call in calls)
        share = 0.5 * 2.0 * len(servers) * (end_s - begin_s)
        self.assert_served_throughout(calls, begin_s, end_s, share)
        self.assertGreater(sum(c.status == 503 for c in calls), 0)

    @run
    async def test_unsafe_requests_are_held_to_the_limit(self):
        # Guards against limits that are kept on the path of safe requests
        # only.
        servers = [LIMITED('w1', b'2.0'), LIMITED('w2')]
        async with vm_fleet.VmFleet(2, *servers) as cluster:
            calls = await cluster.call_steadily(
                RATE_PER_S, SECONDS, path='/place/'
            )
        self.assertEqual([200], statuses(calls))
        self.assert_held(servers[0], 2.0)

    @run
    async def test_uneven_callers_are_held_to_the_limit(self):
        # Guards against parts of the limit that wait unused at one VM and
        # are then spent together.
        servers = [LIMITED('w1', b'1.0'), LIMITED('w2')]
        async with vm_fleet.VmFleet(4, *servers) as cluster:
            first, *rest = cluster.vms
            calls = await cluster.call_steadily(
                1.0, vm_fleet.BEGIN_S, vms=rest
            )
            calls += await cluster.call_steadily(
                30.0, vm_fleet.WINDOW_S, vms=[first]
            )
            calls += await cluster.call_steadily(30.0, 2.0, vms=rest)
        self.assertEqual([200], statuses(calls))
        self.assert_held(servers[0], 1.0)

    @run
    async def test_each_kind_of_answer_names_the_limit(self):
        # Guards against answers that are not examined, and against repeats
        # of failed requests that are not counted.
        def fail(request, *more):
            return vm_fleet.complete(request, *more, status=500)

        def miss(request, *more):
            return vm_fleet.complete(request, *more, status=404)

        answers = fail, miss, vm_fleet.refuse, vm_fleet.break_off
        servers = [
            LIMITED(f'w{n}', b'1.0', answer)
            for n, answer in enumerate(answers, 1)
        ]
        async with vm_fleet.VmFleet(2, LIMITED('w9'), *servers) as cluster:
            calls = await cluster.call_steadily(RATE_PER_S, SECONDS)
        for server in servers:
            self.assertTrue(server.arrivals, server.answer.__name__)
            self.assert_held(server, 1.0)
        # A safe request that failed at two servers ends as 502.
        ended = {call.status for call in calls}
        self.assertLessEqual(ended, {200, 404, 502})
        served = sum(call.status == 200 for call in calls)
        self.assertGreater(served, 0.8 * len(calls))

    @run
    async def test_repeats_count_with_first_calls(self):
        # Guards against repeats that come on top of the limit: half of the
        # requests are refused and sent again elsewhere.
        numbers = itertools.count()

        def refuse_half(request, *more):
            if next(numbers) % 2:
                return vm_fleet.refuse(request, *more)
            return vm_fleet.complete(request, *more)

        servers = [LIMITED(f'w{n}', b'1.0', refuse_half) for n in range(2)]
        async with vm_fleet.VmFleet(3, *servers) as cluster:
            await cluster.call_steadily(RATE_PER_S, SECONDS)
        for server in servers:
            self.assert_held(server, 1.0)


class EndOfLimits(ServerLimits):
    """Servers that name a limit no longer, or never did."""

    @run
    async def test_server_without_its_limit_gets_work_from_every_vm(self):
        # Guards against limits that outlast their cause, and against all
        # VMs turning to the server at once.
        limited = LIMITED('w1', b'2.0')
        other = LIMITED('w2')
        limited.work_s = other.work_s = WORK_S
        async with vm_fleet.VmFleet(3, limited, other) as cluster:
            calls = await cluster.call_steadily(FEW_PER_S, SECONDS)
            limited.limit, ended_s = None, time.monotonic()
            calls += await cluster.call_steadily(FEW_PER_S, 7.0)
            vms = [vm.name for vm in cluster.vms]
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0, until_s=ended_s)
        after = [a.moment_s for a in limited.arrivals if a.moment_s >= ended_s]
        allowed = vm_fleet.allowed_requests(2.0)
        self.assertLessEqual(sum(s < ended_s + 1.0 for s in after), allowed)
        last_s = ended_s + 3.0
        self.assertGreater(vm_fleet.most_in_window(after), allowed)
        for vm in vms:
            self.assertGreater(limited.received_from(vm, last_s), 2, vm)

    @run
    async def test_limit_ends_although_nothing_arrived_for_a_while(self):
        # Guards against a limit that only an answer ends, where none comes
        # as nothing is sent.
        limited = LIMITED('w1', b'0.5')
        other = LIMITED('w2')
        limited.work_s = other.work_s = WORK_S
        async with vm_fleet.VmFleet(3, limited, other) as cluster:
            calls = await cluster.call_steadily(FEW_PER_S, 3.0)
            await curio.sleep(5.0)
            limited.limit = None
            calls += await cluster.call_steadily(FEW_PER_S, 9.0)
            vms = [vm.name for vm in cluster.vms]
        self.assertEqual([200], statuses(calls))
        last_s = max(call.ended_s for call in calls) - vm_fleet.WINDOW_S
        after = [a.moment_s for a in limited.arrivals if a.moment_s >= last_s]
        self.assertGreater(len(after), vm_fleet.allowed_requests(0.5))
        for vm in vms:
            self.assertGreater(limited.received_from(vm, last_s), 0, vm)

    @run
    async def test_engine_without_its_limit_gets_prompts_again(self):
        # Guards against engines that get no long prompt while others have no
        # limit, and so never tell that theirs has ended.
        engines = [
            LIMITED(f'{kind}-{number}', limit, answer, 'llm', stage=stage)
            for number, limit in enumerate((None, b'1.0'))
            for kind, answer, stage in (
                ('p', vm_fleet.prefill, 'prefill'),
                ('d', vm_fleet.stream, 'decode'),
            )
        ]
        async with vm_fleet.VmFleet(3, *engines) as cluster:
            request = {'path': '/read/', 'headers': Prompts()}
            await cluster.call_steadily(FEW_PER_S, 3.0, **request)
            for engine in engines:
                engine.limit = None
            await cluster.call_steadily(FEW_PER_S, 8.0, **request)
            last_s = time.monotonic()
            await cluster.call_steadily(
                FEW_PER_S, vm_fleet.WINDOW_S, **request
            )
        for engine in engines[2:]:
            last = sum(a.moment_s > last_s for a in engine.arrivals)
            allowed = vm_fleet.allowed_requests(1.0)
            self.assertGreater(last, allowed, engine.name)

    @run
    async def test_new_process_is_not_bound_by_the_one_before(self):
        # Guards against limits that are kept by address or id and outlast
        # their process.
        for name in ('w1', 'w2'):
            with self.subTest(name=name):
                server = LIMITED('w1', b'0.2')
                async with vm_fleet.VmFleet(1, server) as cluster:
                    store, [vm] = cluster.store, cluster.vms
                    before = await cluster.call_steadily(RATE_PER_S, 1.0)
                    store.remove('servers/w1')
                    server.name, server.born, server.limit = name, 2, None
                    store.put(f'servers/{name}', server.entry())
                    await fleet.wait_until(
                        lambda: fleet.has_read(vm.front, store)
                    )
                    after = [await cluster.call(vm) for _ in range(20)]
                self.assertIn(503, statuses(before))
                self.assertEqual([200], statuses(after))


class StatedFigures(ServerLimits):
    """Figures of any form."""

    @run
    async def test_figures_that_state_no_limit(self):
        # Guards against figures that break a VM or shut a sound server out.
        for limit in (
            b'',
            b'x',
            b'-1',
            b'-inf',
            b'nan',
            b'inf',
            b'1e308',
            b'1e400',
            b'9' * 400,
            b'2,5',
            b'1_0',
            b'0x2',
            b'2 a second',
            b'\xff',
        ):
            with self.subTest(limit=limit):
                server = LIMITED('w1', limit)
                async with vm_fleet.VmFleet(1, server) as cluster:
                    [vm] = cluster.vms
                    calls = [await cluster.call(vm) for _ in range(20)]
                self.assertEqual([200], statuses(calls))

    @run
    async def test_smallest_figures_are_limits(self):
        # Guards against a division by the limit, and against a server that
        # is never asked again.
        limits = b'0', b'0.0', b'1e-300', b'0.05'
        servers = [LIMITED(f'w{n}', limit) for n, limit in enumerate(limits)]
        async with vm_fleet.VmFleet(2, *servers, LIMITED('w9')) as cluster:
            calls = await cluster.call_steadily(RATE_PER_S, SECONDS)
        self.assertEqual([200], statuses(calls))
        for server in servers:
            self.assert_held(server, float(server.limit))

    @run
    async def test_limit_that_falls_and_rises_is_followed(self):
        # Guards against the first figure being kept.
        limited, other = LIMITED('w1', b'8.0'), LIMITED('w2')
        limited.work_s = other.work_s = WORK_S
        async with vm_fleet.VmFleet(2, limited, other) as cluster:
            await cluster.call_steadily(FEW_PER_S, 3.0)
            limited.limit = b'1.0'
            fallen_s = time.monotonic()
            await cluster.call_steadily(FEW_PER_S, SECONDS)
            limited.limit = b'8.0'
            risen_s = time.monotonic()
            await cluster.call_steadily(FEW_PER_S, 8.0)
        low = [
            s
            for s in limited.counted()
            if fallen_s + vm_fleet.BEGIN_S <= s <= risen_s
        ]
        allowed = vm_fleet.allowed_requests(1.0)
        self.assertLessEqual(vm_fleet.most_in_window(low), allowed)
        self.assert_held(limited, 8.0)
        high = [s for s in limited.counted() if s > risen_s]
        self.assertGreater(vm_fleet.most_in_window(high), allowed)

    @run
    async def test_callers_do_not_get_the_header(self):
        for path, status in (
            ('/look/', 200),
            ('/look/', 404),
            ('/place/', 200),
            ('/place/', 500),
        ):

            def answer(request, *more, status=status):
                return vm_fleet.complete(request, *more, status=status)

            async with vm_fleet.VmFleet(
                1, LIMITED('w1', b'50.0', answer)
            ) as cluster:
                call = await cluster.call(cluster.vms[0], path)
            self.assertEqual(status, call.status)
            self.assertNotIn('server-limit', call.headers)

    @run
    async def test_streams_do_not_pass_on_the_header(self):
        server = LIMITED('d1', b'50.0', vm_fleet.stream, service='llm')
        async with vm_fleet.VmFleet(1, server) as cluster:
            call = await cluster.call(
                cluster.vms[0], '/ask/', fleet.prompt_headers()
            )
        self.assertEqual(200, call.status)
        self.assertNotIn('server-limit', call.headers)


def make_engines(limits):
    """Return a prefill and two decode engines for each limit."""
    return [
        LIMITED(f'{kind}-{number}', limit, answer, 'llm', stage=stage)
        for number, limit in enumerate(limits)
        for kind, answer, stage in (
            ('p', vm_fleet.prefill, 'prefill'),
            ('d', vm_fleet.stream, 'decode'),
            ('e', vm_fleet.break_stream, 'decode'),
        )
    ]


class Prompts:
    """Headers of prompts that are long enough for a prefill engine."""

    def __init__(self):
        self.numbers = itertools.count(1)

    def __call__(self):
        number = next(self.numbers)
        parts = f'a{number:x}:7000,b{number:x}:2000'
        return fleet.prompt_headers(9000, parts)


class Engines(ServerLimits):
    """Prefills, decodes, resumed streams and releases count."""

    @run
    async def test_engines_get_no_more_than_their_limit(self):
        # Guards against limits that are kept for one of the calls that a
        # generation consists of.
        engines = make_engines([b'1.0', None])
        async with vm_fleet.VmFleet(3, *engines) as cluster:
            calls = await cluster.call_steadily(
                FEW_PER_S, SECONDS, path='/read/', headers=Prompts()
            )
        for engine in engines[:3]:
            self.assert_held(engine, 1.0)
        served = [call for call in calls if call.status == 200]
        self.assertGreater(len(served), 0.9 * len(calls))
        for call in served:
            self.assertEqual(4, call.body.count(b'data: '))
        received = [r for e in engines for r in e.received]
        for header in ('x-serving-stage', 'x-kv-source', 'last-event-id'):
            self.assertTrue(any(header in r.headers for r in received))

    @run
    async def test_prompts_beyond_all_limits_are_refused_at_once(self):
        # Guards against prompts that wait at the scheduler until their
        # deadline.
        engines = make_engines([b'1.0'])
        async with vm_fleet.VmFleet(
            3, *engines, timeout_s=DEADLINE_S + 1.0
        ) as cluster:
            calls = await cluster.call_steadily(
                FEW_PER_S,
                SECONDS,
                path='/read/',
                headers=Prompts(),
                deadline_s=DEADLINE_S,
            )
        for engine in engines:
            self.assert_held(engine, 1.0)
        refused = [call for call in calls if call.status == 503]
        self.assertGreater(len(refused), 0)
        self.assert_told_early(refused)
        begin_s = calls[0].sent_s + vm_fleet.BEGIN_S
        end_s = max(call.sent_s for call in calls)
        self.assert_served_throughout(calls, begin_s, end_s, 1)

    @run
    async def test_short_prompts_are_held_to_the_limit(self):
        # Guards against limits that only prompts with a prefill keep to: two
        # engines get at least 96 in 4 s in all, and 58 are allowed.
        engines = [
            LIMITED(f'd{n}', b'4.0', vm_fleet.stream, 'llm', stage='decode')
            for n in range(2)
        ]
        async with vm_fleet.VmFleet(3, *engines) as cluster:
            calls = await cluster.call_steadily(
                FEW_PER_S, SECONDS, path='/ask/', headers=fleet.prompt_headers
            )
        for engine in engines:
            self.assert_held(engine, 4.0)
        self.assertEqual([200, 503], statuses(calls))


class Disturbances(ServerLimits):
    """VMs that restart or lose the store, which excuses only themselves."""

    @run
    async def test_others_keep_to_the_limit_while_a_vm_restarts(self):
        # Guards against parts of the limit that depend on what each VM has
        # seen of the others.
        limited = LIMITED('w1', b'2.0')
        async with vm_fleet.VmFleet(3, limited, LIMITED('w2')) as cluster:
            restarted = cluster.vms[-1]
            calls = await cluster.call_steadily(RATE_PER_S, 4.0)
            await restarted.front.close()
            await restarted.start_front()
            await fleet.wait_until(lambda: restarted.front.is_ready)
            back_s = time.monotonic()
            calls += await cluster.call_steadily(RATE_PER_S, SECONDS)
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0, but=(restarted.name,))
        settled = [
            s for s in limited.counted() if s > back_s + vm_fleet.BEGIN_S
        ]
        self.assertLessEqual(
            vm_fleet.most_in_window(settled), vm_fleet.allowed_requests(2.0)
        )

    @run
    async def test_vm_without_the_store_serves_and_keeps_to_its_part(self):
        # Guards against a VM that takes the whole limit when it is alone,
        # and against one that keeps counting on VMs that are gone.
        limited = LIMITED('w1', b'2.0')
        async with vm_fleet.VmFleet(3, limited, LIMITED('w2')) as cluster:
            cut = cluster.vms[-1]
            calls = await cluster.call_steadily(RATE_PER_S, 3.0)
            cut.proxy.mode = 'silence'
            calls += await cluster.call_steadily(RATE_PER_S, 4.0)
            # Its lease has lapsed.
            cluster.store.remove(f'mangorock/vms/{cut.name}')
            calls += await cluster.call_steadily(RATE_PER_S, 6.0)
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0, but=(cut.name,))
        self.assert_held(limited, 2.0, but=[vm.name for vm in cluster.vms[:2]])

    @run
    async def test_all_vms_without_the_store_keep_to_the_limit(self):
        # Guards against parts of the limit that are lost, or taken whole,
        # without the store.
        limited = LIMITED('w1', b'2.0')
        async with vm_fleet.VmFleet(3, limited, LIMITED('w2')) as cluster:
            calls = await cluster.call_steadily(RATE_PER_S, 1.0)
            cluster.store.is_silent = True
            calls += await cluster.call_steadily(RATE_PER_S, HOLD_SECONDS)
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0)

    @run
    async def test_vms_that_join_share_the_limit(self):
        # Guards against parts of the limit that are given away twice while
        # the VMs do not know each other yet.
        limited = LIMITED('w1', b'2.0')
        async with vm_fleet.VmFleet(2, limited, LIMITED('w2')) as cluster:
            calls = await cluster.call_steadily(RATE_PER_S, 3.0)
            for number in range(3):
                joined = vm_fleet.Vm(f'vm-new-{number}', cluster.store)
                await joined.start()
                await fleet.wait_until(lambda vm=joined: vm.front.is_ready)
                cluster.vms.append(joined)
            calls += await cluster.call_steadily(RATE_PER_S, SECONDS)
        self.assertEqual([200], statuses(calls))
        self.assert_held(limited, 2.0)


if __name__ == '__main__':
    unittest.main()
