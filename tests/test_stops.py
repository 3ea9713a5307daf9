"""Tests of a planned stop with requests that are open when it ends."""

import pathlib
import signal
import tempfile
import unittest

import attrs
import curio
import h11
import orjson

from tests import fleet
from tests import process
from tests import test_front
from tests import workers

GRACE_S = 1.0
MANY = 300
#: Statuses that say that a request has not run.
NOT_RUN = (429, 503)


def answer_late(request):
    """Answer long after the end of the grace period."""
    return [5.0, workers.whole_response(request)]


def make_config(timeout_ms):
    """Return a configuration whose routes allow requests to last so long."""
    config = fleet.make_config(2)
    for route in config['routes']:
        route['timeoutMs'] = timeout_ms
    config['services'][0]['maxConnections'] = 1
    return config


def make_cluster(handler):
    """Return a server with this handler and a fleet with a short grace."""
    worker = workers.Worker('w1', 'desk', handler)
    return worker, fleet.Fleet(
        worker, config=make_config(9000), grace_s=GRACE_S
    )


async def ask(cluster, method, path, deadline_ms):
    """Return the status and the body of an answer, (0, b'') without one."""
    exchange = await cluster.open()
    headers = [
        (name, str(deadline_ms) if name == 'x-deadline-ms' else value)
        for name, value in cluster.request_headers()
    ]
    try:
        await exchange.send(method, path, headers, b'')
        return exchange.status, await exchange.read()
    except (OSError, h11.ProtocolError):
        return 0, b''
    finally:
        await cluster.client.discard(exchange)


async def stop(front):
    """Stop as `front.serve` does, and return how long it took.

    The connections that are left end as with the process.
    """
    begun_s = await curio.clock()
    await front.stop()
    await front.close()
    took_s = await curio.clock() - begun_s
    for task in list(front.ingress.connections):
        await task.cancel()
    return took_s


async def open_while_stopping(cluster, count, deadline_ms=9000):
    """Return the answers to requests that are open when a stop ends."""
    asking = [
        await curio.spawn(ask, cluster, 'POST', '/place/', deadline_ms)
        for _ in range(count)
    ]
    await curio.sleep(0.2)
    stopping = await curio.spawn(stop, cluster.front)
    answers = [await task.join() for task in asking]
    await stopping.join()
    return answers


class OpenRequests(unittest.TestCase):
    """Requests taken before SIGTERM whose deadline lies behind its end."""

    @test_front.run
    async def test_request_that_waits_is_refused_as_not_run(self):
        # Guards against a request that was never sent and gets no answer.
        worker, cluster = make_cluster(answer_late)
        async with cluster:
            answers = await open_while_stopping(cluster, 20)
        ran = {request.request_id for request in worker.received}
        self.assertLess(len(ran), 20)
        not_run = [
            body for status, body in answers if status in NOT_RUN and body
        ]
        self.assertEqual(20 - len(ran), len(not_run), answers)
        for body in not_run:
            self.assertEqual('not_run', orjson.loads(body)['error']['run'])

    @test_front.run
    async def test_request_at_work_is_answered(self):
        # Guards against an order that may have run and gets no answer.
        worker, cluster = make_cluster(answer_late)
        async with cluster:
            answers = await open_while_stopping(cluster, 1)
        self.assertEqual(1, len(worker.received))
        [(status, body)] = answers
        self.assertEqual(504, status)
        self.assertEqual('unknown', orjson.loads(body)['error']['run'])

    @test_front.run
    async def test_late_answer_within_the_deadline_is_delivered(self):
        def answer(request):
            return [0.3, workers.whole_response(request)]

        _, cluster = make_cluster(answer)
        async with cluster:
            answers = await open_while_stopping(cluster, 1)
        self.assertEqual([(200, b'done')], answers)


class ChangedGrace(unittest.TestCase):
    """The settings file changes beside a SIGTERM."""

    @test_front.run
    async def test_shorter_grace_ends_the_stop_sooner(self):
        # Guards against a stop that outlasts a grace period shortened in it.
        worker = workers.Worker('w1', 'desk', answer_late)
        cluster = fleet.Fleet(worker, config=make_config(9000), grace_s=4.0)
        async with cluster:
            front = cluster.front
            shorter = attrs.evolve(front.settings, grace_s=GRACE_S)
            asking = await curio.spawn(ask, cluster, 'POST', '/place/', 9000)
            await curio.sleep(0.1)
            stopping = await curio.spawn(stop, front)
            await curio.sleep(0.1)
            await front.reload(lambda: shorter)
            status, _ = await ask(cluster, 'POST', '/place/', 1200)
            self.assertEqual(503, status)
            self.assertEqual(504, (await asking.join())[0])
            took_s = await stopping.join()
        self.assertLess(took_s, GRACE_S)

    @test_front.run
    async def test_longer_grace_does_not_prolong_a_stop(self):
        cluster = fleet.Fleet(grace_s=GRACE_S)
        async with cluster:
            front = cluster.front
            stopping = await curio.spawn(stop, front)
            await curio.sleep(0.1)
            longer = attrs.evolve(front.settings, grace_s=9.0)
            await front.reload(lambda: longer)
            status, _ = await ask(cluster, 'GET', '/look/', 1400)
            self.assertEqual(503, status)
            await stopping.join()


class ManyOpenRequests(unittest.TestCase):
    """Several hundred requests are open when the grace period ends."""

    def test_each_is_answered(self):
        async def main():
            config = make_config(9000)
            late = workers.Worker('w1', 'annex', answer_late)
            config['services'].append(
                {'name': 'annex', 'maxConnections': 10 * MANY}
            )
            config['routes'].append(
                {
                    **config['routes'][1],
                    'name': 'late',
                    'prefix': '/late/',
                    'service': 'annex',
                }
            )
            with tempfile.TemporaryDirectory() as folder:
                cluster = process.Cluster(folder, config, late)
                async with cluster:
                    asking = [
                        await curio.spawn(cluster.request, '/late/', 9000)
                        for _ in range(MANY)
                    ]
                    await curio.sleep(1.0)
                    begun_s = await curio.clock()
                    await cluster.vm.stop(signal.SIGTERM)
                    took_s = await curio.clock() - begun_s
                    self.assertLess(took_s, cluster.vm.grace_s)
                    statuses = [await task.join() for task in asking]
                    log = pathlib.Path(cluster.vm.log_path).read_text()
            return statuses, log, len(late.received)

        statuses, log, sent = curio.run(main)
        cut = [line for line in log.splitlines() if 'connections_cut' in line]
        self.assertEqual([], cut)
        self.assertEqual(MANY, sent)
        self.assertEqual({504}, set(statuses))


if __name__ == '__main__':
    unittest.main()
