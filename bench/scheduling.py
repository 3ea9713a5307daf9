"""Measures the cost of placing prompts, by the number of engines.

``python -m bench.scheduling`` prints the CPU time that the scheduler's VM
spends per prompt: decoding the request, deciding, encoding the answer and
processing one outcome.  It also prints the memory of the scheduler's records
of cached documents.
"""

import random
import sys
import time
import tracemalloc

from mangorock import catalog
from mangorock import consultation
from mangorock import messages
from mangorock import registry
from mangorock import scheduler

PROFILE = catalog.EngineProfile(16, 390_000, 5.0)
DOCUMENT_TOKENS = 13_300
REQUESTS = 3000


def make_engines(count):
    """Return engines, a third of them in the prefill stage."""
    stages = registry.Stage
    return [
        registry.BackendServer(
            f'e{number}',
            's',
            f'10.0.0.{number % 250}:1',
            'abc'[number % 3],
            16,
            stage=stages.DECODE if number % 3 else stages.PREFILL,
        )
        for number in range(count)
    ]


def measure(count):
    """Return (seconds per prompt, bytes of memory) with ``count`` engines.

    Memory is read before the last 500 requests and only these are timed,
    because tracing allocations slows the code down.
    """
    rng, engines = random.Random(1), make_engines(count)
    tested_scheduler, cpu_s = scheduler.Scheduler(PROFILE), 0.0
    tracemalloc.start()
    memory_before_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(REQUESTS):
        now = number * 2.0 / count
        document = f'd{rng.randrange(18 * count)}'
        request = messages.PlacementRequest(
            's',
            f'r{number}',
            document,
            DOCUMENT_TOKENS,
            3700,
            0.2,
            9.0,
            9.0,
            9.0,
        )
        datagram = consultation.encode(1, request)
        if number == REQUESTS - 500:
            memory_bytes = (
                tracemalloc.get_traced_memory()[0] - memory_before_bytes
            )
            tracemalloc.stop()
            cpu_s = 0.0
        started_s = time.process_time()
        _, decoded_request = consultation.decode(datagram)
        answer, _ = tested_scheduler.place(decoded_request, engines, now)
        consultation.encode(1, answer)
        outcome = messages.Outcome('s', f'r{number}', 0.2, '', 'e1', 3, 0, 16)
        tested_scheduler.record_outcome(outcome, engines, now + 0.2)
        cpu_s += time.process_time() - started_s
    return cpu_s / 500, memory_bytes


def main():
    """Print a line for each number of engines."""
    for count in (6, 28, 120):
        seconds, memory_bytes = measure(count)
        print(
            f'{count} engines: {seconds * 1e6:.0f} us per prompt, '
            f'{memory_bytes / 1024:.0f} KB'
        )


if __name__ == '__main__':
    sys.exit(main())
