"""Checks a stream token by token, and says what may go to the caller.

`StreamCheck` has no socket: it takes the bytes that arrived and returns the
bytes that are proven to be the next part of this request's own answer.  A
stream is whole only at its final event, whose token count must agree with
the tokens seen; a connection that closes is not an end.

Example::

    check = StreamCheck('r1')
    check.feed(b'data: {"id":"r1","n":0,"choices":[...]}\\n\\n')
    check.next_index
    # 1
"""

import attrs
import orjson

_DONE = b'data: [DONE]'
_PREFIX = b'data: '
MAX_EVENT_BYTES = 1_000_000


class StreamFault(Exception):
    """The bytes are not the next part of this request's answer."""


@attrs.define
class StreamCheck:
    """The state of one answer over all the streams that carry it.

    ``texts`` holds the text of each token so far, ``next_index`` their
    count.  ``usage`` is the final event's, ``None`` until it came.
    """

    request_id: str
    next_index: int = 0
    texts: list = attrs.field(factory=list)
    usage: dict | None = None
    finish_reason: str = ''
    is_whole: bool = False
    _rest: bytes = b''

    def restart(self):
        """Forget a partial event of a stream that broke."""
        self._rest = b''

    def feed(self, data):
        """Return the checked events in ``data``; raise `StreamFault`."""
        if self._rest:
            data = self._rest + data
        cut = data.rfind(b'\n\n') + 2
        if cut < 2:
            cut = 0
        self._rest = data[cut:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamFault('an event is over the size limit')
        if not cut:
            return b''
        lines = data[:cut].split(b'\n\n')
        lines.pop()
        kept = [line for line in lines if self._accept(line)]
        if not kept:
            return b''
        kept.append(b'')
        return b'\n\n'.join(kept)

    def _accept(self, line):
        if line == _DONE:
            if self.usage is None:
                raise StreamFault('the stream ended before its final event')
            self.is_whole = True
            return True
        if self.usage is not None:
            raise StreamFault('an event came after the final one')
        try:
            event = orjson.loads(line[len(_PREFIX) :])
            index = event['n']
            choice = event['choices'][0]
        except (orjson.JSONDecodeError, LookupError, TypeError) as exc:
            raise StreamFault(f'an event cannot be read ({exc!r})')
        if event['id'] != self.request_id:
            raise StreamFault(f'an event of request {event["id"]} came')
        if 'usage' in event:
            return self._accept_final(event, index, choice)
        if index != self.next_index:
            if index < self.next_index:
                # A resumed stream may repeat what was relayed already.
                return False
            raise StreamFault(
                f'token {index} came, expected {self.next_index}'
            )
        self.texts.append(choice['delta'].get('content', ''))
        self.next_index += 1
        return True

    def _accept_final(self, event, index, choice):
        count = event['usage'].get('completion_tokens')
        if index != self.next_index or count != self.next_index:
            raise StreamFault(
                f'the final event counts {count} tokens, '
                f'{self.next_index} came'
            )
        self.usage = event['usage']
        self.finish_reason = choice['finish_reason']
        return True

    def text(self):
        """Return the text of all tokens so far."""
        return ''.join(self.texts)
