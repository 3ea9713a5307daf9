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
    shared = call['shared_prefix_words']
    words = [f'tariff{i}' for i in range(shared)]
    words += [f'clause{i}' for i in range(call['prompt_words'] - shared)]
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
        is_whole = count == call['max_tokens']
        return is_whole, f'{prompt} prompt, {count} answer tokens'
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
    out = ROOT / 'out' / f'demo-{name}'
    calls = orjson.loads((folder / 'calls.json').read_bytes())
    failures = 0
    with fleet.Fleet(folder, out) as desk:
        print(f'{name}: {len(desk.daemons)} daemons, logs in {out.name}')
        daemons = list(desk.daemons.values())
        print(f'{"CALL":28}{"ENTRY VM":10}{"MS":>8}  ANSWER')
        for number, call in enumerate(calls):
            daemon = daemons[number % len(daemons)]
            began = time.monotonic()
            is_whole, text = run_call(
                call, daemon, desk.config['keys'][call['account']]
            )
            took_ms = (time.monotonic() - began) * 1000
            failures += not is_whole
            mark = '' if is_whole else 'NOT WHOLE '
            print(
                f'{call["kind"]:28}{daemon.vm:10}{took_ms:8.0f}  '
                f'{mark}{str(text)[:60]}'
            )
        wanted = sum(
            'idempotency_key' in c and not c.get('is_repeat') for c in calls
        )
        effects = len(desk.effects())
        print(f'effects at the desk: {effects}, wanted {wanted}')
        failures += effects != wanted
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
