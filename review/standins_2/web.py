"""HTTP/1.1 for the stand-ins, on the standard library only."""

import asyncio
import dataclasses

REASONS = {200: 'OK', 202: 'Accepted', 404: 'Not Found'}


@dataclasses.dataclass
class Request:
    """A request with its whole body; header names are lower case."""

    method: str
    target: str
    headers: dict
    body: bytes


async def read_head(reader):
    """Return (first line, headers), or None at the end of the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_end=False):
    """Return the whole body.

    Raises `asyncio.IncompleteReadError` if the connection ends before it
    does.
    """
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b''.join(parts)
            parts.append(data[:-2])
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_end else b''


async def read_request(reader):
    """Return the next `Request`, None at the end of the connection."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(' ')
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def serve(reader, writer, handle):
    """Pass each request to ``handle`` until the connection ends."""
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                return
            await handle(request, writer)
    except ConnectionError:
        return
    finally:
        writer.close()


def encode_head(status, *headers):
    """Return the bytes of a response's head."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "X")}', *headers]
    return '\r\n'.join([*lines, '', '']).encode()


async def respond(writer, status, body=b'', *headers):
    """Write a complete response."""
    length = f'Content-Length: {len(body)}'
    writer.write(encode_head(status, *headers, length) + body)
    await writer.drain()
