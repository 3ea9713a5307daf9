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
ROUNDS = 3000


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
    decider, busy_s = scheduler.Scheduler(KV_TOKENS), 0.0
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(ROUNDS):
        now = number * 2.0 / count
        document = f'd{rng.randrange(18 * count)}'
        ask = scheduler.Ask(
            's', f'r{number}', document, DOCUMENT_TOKENS, 3700, 0.2, 9.0, 9.0
        )
        data = consultation.encode(1, ask)
        if number == ROUNDS - 500:
            known = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            busy_s = 0.0
        began_s = time.process_time()
        _, asked = consultation.decode(data)
        answer = decider.place(asked, engines, now)
        consultation.encode(1, answer)
        notice = scheduler.Notice('s', f'r{number}', 0.2, '', 'e1', 3, 0, 16)
        decider.record_outcome(notice, engines, now + 0.2)
        busy_s += time.process_time() - began_s
    return busy_s / 500, known


def main():
    """Print a row for each number of engines."""
    for count in (6, 28, 120):
        seconds, known = measure(count)
        print(
            f'{count} engines: {seconds * 1e6:.0f} us, {known / 1024:.0f} KB'
        )


if __name__ == '__main__':
    sys.exit(main())
