"""Opens many streams from one process and times every token.

Arrivals are open-loop: the due time of each request derives from a seed, and
the time to the first token counts from that due time.  A stalled server thus
cannot improve its figures by delaying the sending of requests (coordinated
omission).
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
TOKEN_MARKER = b'"n":'
END_MARKER = b'[DONE]'


@attrs.define
class Stream:
    """A streamed request and what has arrived of its response."""

    due_s: float
    sock: object = None
    tokens: int = 0
    last_s: float = 0.0
    is_complete: bool = False
    partial_event: bytes = b''


@attrs.define
class Times:
    """Counts of streams and tokens, and their times in milliseconds."""

    first_ms: list = attrs.field(factory=list)
    between_ms: list = attrs.field(factory=list)
    whole: int = 0
    broken: int = 0
    tokens: int = 0


def make_request(address, path, key, body):
    """Return an HTTP request as bytes."""
    data = json.dumps(body).encode()
    head = (
        f'POST {path} HTTP/1.1\r\nhost: {address}\r\n'
        f'authorization: Bearer {key}\r\n'
        f'content-type: application/json\r\ncontent-length: {len(data)}'
        '\r\nconnection: close\r\n\r\n'
    )
    return head.encode() + data


class LoadGenerator:
    """Starts requests on schedule and reads the streams, with one selector."""

    def __init__(self, args):
        self.args = args
        self.times = Times()
        self.selector = selectors.DefaultSelector()
        self.random = random.Random(args.seed)
        self.request_count = 0

    def run(self):
        """Start each request when due; read until all streams have ended."""
        args = self.args
        start_s = time.monotonic() + 0.2
        due_times, offset_s = [], 0.0
        while offset_s < args.seconds:
            offset_s += self.random.expovariate(args.rate)
            heapq.heappush(due_times, start_s + offset_s)
        deadline_s = start_s + args.seconds + args.grace
        while (
            due_times or self.selector.get_map()
        ) and time.monotonic() < deadline_s:
            wait_s = 0.05
            if due_times:
                wait_s = max(0.0, due_times[0] - time.monotonic())
            for ready, _ in self.selector.select(min(wait_s, 0.05)):
                self.receive(ready.data)
            while due_times and due_times[0] <= time.monotonic():
                self.send(heapq.heappop(due_times))
        for entry in list(self.selector.get_map().values()):
            self.close(entry.data)
        return self.times

    def send(self, due_s):
        """Open a connection and send a request."""
        args = self.args
        self.request_count += 1
        body = {'max_tokens': args.tokens, 'prompt': 'x' * args.prompt}
        if args.is_direct:
            body['request_id'] = (
                f'bench{args.seed:04d}{self.request_count:08d}'
            )
        else:
            body |= {'model': args.model, 'stream': True}
        addresses = args.address.split(',')
        address = addresses[self.request_count % len(addresses)]
        host, _, port = address.partition(':')
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(make_request(address, '/v1/completions', args.key, body))
        sock.setblocking(False)
        stream = Stream(due_s, sock)
        self.selector.register(sock, selectors.EVENT_READ, stream)

    def receive(self, stream):
        """Read available data of a stream and record its complete events."""
        now = time.monotonic()
        try:
            data = stream.sock.recv(READ_BYTES)
        except OSError:
            data = b''
        if not data:
            self.close(stream)
            return
        # Only complete events are counted.  The final one has the marker of
        # a token too, but carries the usage instead of a token.
        data = stream.partial_event + data
        complete_end = data.rfind(b'\n\n') + 2
        stream.partial_event = (
            data[complete_end:] if complete_end >= 2 else data
        )
        data = data[:complete_end] if complete_end >= 2 else b''
        count = data.count(TOKEN_MARKER)
        if END_MARKER in data:
            stream.is_complete = True
            count -= 1
        if count > 0:
            self.record_tokens(stream, count, now)
        if stream.is_complete:
            self.close(stream)

    def record_tokens(self, stream, count, now):
        """Record the times of tokens that arrived together.

        The first has the time since the previous token, or since the due
        time of the request; the others have an interval of 0.
        """
        if not stream.tokens:
            self.times.first_ms.append((now - stream.due_s) * 1000)
            count_between = count - 1
        else:
            count_between = count
            interval_ms = (now - stream.last_s) * 1000
            self.times.between_ms.append(interval_ms)
            count_between -= 1
        self.times.between_ms += [0.0] * count_between
        stream.tokens += count
        stream.last_s = now
        self.times.tokens += count

    def close(self, stream):
        """Close a stream and count it as complete or broken."""
        is_complete = stream.is_complete and stream.tokens == self.args.tokens
        self.times.whole += is_complete
        self.times.broken += not is_complete
        self.selector.unregister(stream.sock)
        stream.sock.close()


def main():
    """Run the load and print the times as JSON."""
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
    times = LoadGenerator(parser.parse_args()).run()
    json.dump(attrs.asdict(times), sys.stdout)


if __name__ == '__main__':
    main()
