"""Serves one desk's sample calls end to end and prints what each got.

Usage: ``python scripts/demo.py [DESK]`` with a folder of ``examples/``.
Ends with status 1 if any answer was not whole.
"""

import pathlib
import sys
import time

import orjson

from mangorock_standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent


def make_prompt(call):
    """Return a call's prompt; a long one starts with the shared book."""
    if 'prompt' in call:
        return call['prompt']
    shared_words = call['shared_prefix_words']
    words = [f'tariff{i}' for i in range(shared_words)]
    words += [f'clause{i}' for i in range(call['prompt_words'] - shared_words)]
    return ' '.join(words)


def run_call(call, daemon, key):
    """Return (is whole, what came) of one sample call."""
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
        return is_complete, f'{prompt} prompt, {count} answer tokens'
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
    """Run the demo and return the exit status."""
    name = sys.argv[1] if len(sys.argv) > 1 else 'traders'
    folder = ROOT / 'examples' / name
    log_folder = ROOT / 'out' / f'demo-{name}'
    calls = orjson.loads((folder / 'calls.json').read_bytes())
    failures = 0
    with fleet.Fleet(folder, log_folder) as running_fleet:
        print(
            f'{name}: {len(running_fleet.daemons)} daemons, '
            f'logs in {log_folder.name}'
        )
        daemons = list(running_fleet.daemons.values())
        print(f'{"CALL":28}{"ENTRY VM":10}{"MS":>8}  ANSWER')
        for number, call in enumerate(calls):
            daemon = daemons[number % len(daemons)]
            started = time.monotonic()
            is_complete, outcome = run_call(
                call, daemon, running_fleet.config['keys'][call['account']]
            )
            duration_ms = (time.monotonic() - started) * 1000
            failures += not is_complete
            marker = '' if is_complete else 'NOT WHOLE '
            print(
                f'{call["kind"]:28}{daemon.vm:10}{duration_ms:8.0f}  '
                f'{marker}{str(outcome)[:60]}'
            )
        expected = sum(
            'idempotency_key' in c and not c.get('is_repeat') for c in calls
        )
        effects = len(running_fleet.effects())
        print(f'effects at the desk: {effects}, wanted {expected}')
        failures += effects != expected
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
