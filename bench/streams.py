"""Opens many streams and times every token; one light process.

Arrivals are open-loop: each request has its due time from a seed, and its
first token is timed from that due time, so a stalled server cannot hide
behind requests that were sent late (coordinated omission).
"""

import argparse
import heapq
import json
import random
import selectors
import socket
import sys
import time

import attrs

READ_BYTES = 262_144
TOKEN = b'"n":'
END = b'[DONE]'


@attrs.define
class Stream:
    """One request and the times of its tokens."""

    due_s: float
    sock: object = None
    tokens: int = 0
    last_s: float = 0.0
    is_whole: bool = False
    tail: bytes = b''


@attrs.define
class Times:
    """What is reported, in milliseconds."""

    first_ms: list = attrs.field(factory=list)
    between_ms: list = attrs.field(factory=list)
    whole: int = 0
    broken: int = 0
    tokens: int = 0


def make_request(address, path, key, body):
    """Return the bytes of one request."""
    data = json.dumps(body).encode()
    head = (
        f'POST {path} HTTP/1.1\r\nhost: {address}\r\n'
        f'authorization: Bearer {key}\r\n'
        f'content-type: application/json\r\ncontent-length: {len(data)}'
        '\r\nconnection: close\r\n\r\n'
    )
    return head.encode() + data


class Load:
    """Runs the streams on one selector."""

    def __init__(self, args):
        self.args = args
        self.times = Times()
        self.selector = selectors.DefaultSelector()
        self.random = random.Random(args.seed)
        self.number = 0

    def run(self):
        """Start each request when it is due, read until all have ended."""
        args = self.args
        began = time.monotonic() + 0.2
        due, at = [], 0.0
        while at < args.seconds:
            at += self.random.expovariate(args.rate)
            heapq.heappush(due, began + at)
        end = began + args.seconds + args.grace
        while (due or self.selector.get_map()) and time.monotonic() < end:
            wait_s = 0.05
            if due:
                wait_s = max(0.0, due[0] - time.monotonic())
            for ready, _ in self.selector.select(min(wait_s, 0.05)):
                self.read(ready.data)
            while due and due[0] <= time.monotonic():
                self.open(heapq.heappop(due))
        for entry in list(self.selector.get_map().values()):
            self.close(entry.data)
        return self.times

    def open(self, due_s):
        """Send one request."""
        args = self.args
        self.number += 1
        body = {'max_tokens': args.tokens, 'prompt': 'x' * args.prompt}
        if args.is_direct:
            body['request_id'] = f'bench{args.seed:04d}{self.number:08d}'
        else:
            body |= {'model': args.model, 'stream': True}
        addresses = args.address.split(',')
        address = addresses[self.number % len(addresses)]
        host, _, port = address.partition(':')
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(make_request(address, '/v1/completions', args.key, body))
        sock.setblocking(False)
        stream = Stream(due_s, sock)
        self.selector.register(sock, selectors.EVENT_READ, stream)

    def read(self, stream):
        """Take what arrived."""
        now = time.monotonic()
        try:
            data = stream.sock.recv(READ_BYTES)
        except OSError:
            data = b''
        if not data:
            self.close(stream)
            return
        # Only the final event has a token count besides the index.
        data = stream.tail + data
        cut = data.rfind(b'\n\n') + 2
        stream.tail = data[cut:] if cut >= 2 else data
        data = data[:cut] if cut >= 2 else b''
        count = data.count(TOKEN)
        if END in data:
            stream.is_whole = True
            count -= 1
        if count > 0:
            self.count(stream, count, now)
        if stream.is_whole:
            self.close(stream)

    def count(self, stream, count, now):
        """Time the tokens that came together."""
        if not stream.tokens:
            self.times.first_ms.append((now - stream.due_s) * 1000)
            count_between = count - 1
        else:
            count_between = count
            gap_ms = (now - stream.last_s) * 1000
            self.times.between_ms.append(gap_ms)
            count_between -= 1
        self.times.between_ms += [0.0] * count_between
        stream.tokens += count
        stream.last_s = now
        self.times.tokens += count

    def close(self, stream):
        """End a stream and count it."""
        is_whole = stream.is_whole and stream.tokens == self.args.tokens
        self.times.whole += is_whole
        self.times.broken += not is_whole
        self.selector.unregister(stream.sock)
        stream.sock.close()


def main():
    """Run and print the times as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--key', default='none')
    parser.add_argument('--model', default='')
    parser.add_argument('--rate', type=float, default=10.0)
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--grace', type=float, default=30.0)
    parser.add_argument('--tokens', type=int, default=100)
    parser.add_argument('--prompt', type=int, default=100)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--is-direct', action='store_true')
    times = Load(parser.parse_args()).run()
    json.dump(attrs.asdict(times), sys.stdout)


if __name__ == '__main__':
    main()
