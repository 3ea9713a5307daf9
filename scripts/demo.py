"""Starts an example fleet, sends its sample calls and prints the results.

Usage: ``python scripts/demo.py [EXAMPLE]`` with a folder of ``examples/``.
Exits with status 1 if any response is incomplete or if the number of side
effects differs from the number of calls that should have caused one.
"""

import pathlib
import sys
import time

import orjson

from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent


def make_prompt(call):
    """Return the prompt of a call.

    A generated prompt starts with words that all such prompts share, so that
    its prefix can be cached.
    """
    if 'prompt' in call:
        return call['prompt']
    shared_words = call['shared_prefix_words']
    words = [f'tariff{i}' for i in range(shared_words)]
    words += [f'clause{i}' for i in range(call['prompt_words'] - shared_words)]
    return ' '.join(words)


def run_call(call, daemon, key):
    """Send one sample call; return (is complete, description)."""
    headers = {
        'authorization': f'Bearer {key}',
        'content-type': 'application/json',
    }
    if 'model' in call:
        data = {
            'model': call['model'],
            'messages': [{'role': 'user', 'content': make_prompt(call)}],
            'max_tokens': call['max_tokens'],
        }
        status, answer = fleet.http_json(
            'POST',
            daemon.caller_address,
            '/v1/chat/completions',
            data,
            headers,
        )
        if status != 200:
            return False, answer
        count = answer['usage']['completion_tokens']
        prompt = answer['usage']['prompt_tokens']
        is_complete = count == call['max_tokens']
        return is_complete, f'{prompt} prompt, {count} completion tokens'
    if 'idempotency_key' in call:
        headers['idempotency-key'] = call['idempotency_key']
    status, answer = fleet.http_json(
        call['method'],
        daemon.caller_address,
        f'/s/{call["service"]}{call.get("path", "")}',
        call.get('body'),
        headers,
    )
    return status < 300, f'{status} {answer}'


def main():
    """Run the demo and return its exit status."""
    name = sys.argv[1] if len(sys.argv) > 1 else 'traders'
    folder = ROOT / 'examples' / name
    log_folder = ROOT / 'out' / f'demo-{name}'
    calls = orjson.loads((folder / 'calls.json').read_bytes())
    failures = 0
    with fleet.Fleet(folder, log_folder) as cluster:
        print(
            f'{name}: {len(cluster.daemons)} daemons, '
            f'logs in out/{log_folder.name}'
        )
        daemons = list(cluster.daemons.values())
        print(f'{"CALL":28}{"ENTRY VM":10}{"MS":>8}  RESPONSE')
        for number, call in enumerate(calls):
            daemon = daemons[number % len(daemons)]
            started = time.monotonic()
            is_complete, outcome = run_call(
                call, daemon, cluster.config['keys'][call['account']]
            )
            duration_ms = (time.monotonic() - started) * 1000
            failures += not is_complete
            marker = '' if is_complete else 'INCOMPLETE '
            print(
                f'{call["kind"]:28}{daemon.vm:10}{duration_ms:8.0f}  '
                f'{marker}{str(outcome)[:60]}'
            )
        expected = sum(
            'idempotency_key' in c and not c.get('is_repeat') for c in calls
        )
        effects = len(cluster.effects())
        print(f'side effects: {effects}, expected {expected}')
        failures += effects != expected
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
