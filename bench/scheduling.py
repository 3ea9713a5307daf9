"""What placing a long prompt costs the VM that schedules, by engines.

``python -m bench.scheduling`` prints the processor time of one question (its
datagram read, the decision, the answer written) and one notice, and the
memory of what is known of the engines' documents.
"""

import random
import sys
import time
import tracemalloc

from mangorock import consultation
from mangorock import registry
from mangorock import scheduler

KV_TOKENS = 390_000
DOCUMENT_TOKENS = 13_300
REQUESTS = 3000


def make_engines(count):
    """Return engines, a third of them for prefill."""
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
    """Return (seconds a prompt, bytes known) with ``count`` engines."""
    rng, engines = random.Random(1), make_engines(count)
    tested_scheduler, cpu_s = scheduler.Scheduler(KV_TOKENS), 0.0
    tracemalloc.start()
    memory_before_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(REQUESTS):
        now = number * 2.0 / count
        document = f'd{rng.randrange(18 * count)}'
        request = scheduler.Ask(
            's', f'r{number}', document, DOCUMENT_TOKENS, 3700, 0.2, 9.0, 9.0
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
        answer = tested_scheduler.place(decoded_request, engines, now)
        consultation.encode(1, answer)
        notice = scheduler.Notice('s', f'r{number}', 0.2, '', 'e1', 3, 0, 16)
        tested_scheduler.record_outcome(notice, engines, now + 0.2)
        cpu_s += time.process_time() - started_s
    return cpu_s / 500, memory_bytes


def main():
    """Print a row for each number of engines."""
    for count in (6, 28, 120):
        seconds, memory_bytes = measure(count)
        print(
            f'{count} engines: {seconds * 1e6:.0f} us, '
            f'{memory_bytes / 1024:.0f} KB'
        )


if __name__ == '__main__':
    sys.exit(main())
