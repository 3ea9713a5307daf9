"""Tests that one slow prompt does not end the use of an engine."""

import unittest

from tests import fleet
from tests import test_front
from tests import vm_fleet


class SlowFirstPrompt(unittest.TestCase):
    """Two engines, of which the busier one leaves."""

    @test_front.run
    async def test_engine_that_remains_is_used_after_one_slow_prompt(self):
        # Guards against an estimate from a single prompt that no further
        # prompt corrects: the idle engine counted as full for good.
        engines = [
            vm_fleet.LimitedServer(
                f'd{number}', None, vm_fleet.stream, 'llm', stage='decode'
            )
            for number in (1, 2)
        ]
        for engine in engines:
            engine.work_s = 0.25
        async with vm_fleet.VmFleet(1, *engines) as cluster:
            store, [vm] = cluster.store, cluster.vms
            request = {'path': '/ask/', 'headers': fleet.prompt_headers}
            before = await cluster.call_steadily(4.0, 2.0, **request)
            busier = max(engines, key=lambda engine: len(engine.arrivals))
            store.put(
                f'servers/{busier.name}', busier.entry('draining', sequence=2)
            )
            await fleet.wait_until(lambda: fleet.has_read(vm.front, store))
            # One after the other, so that the engine is idle for each.
            after = [
                await cluster.call(vm, '/ask/', fleet.prompt_headers())
                for _ in range(8)
            ]
        self.assertEqual({200}, {call.status for call in before})
        served = sum(call.status == 200 for call in after)
        self.assertGreater(served, 6)


if __name__ == '__main__':
    unittest.main()
