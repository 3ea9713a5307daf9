"""Checks a stream token by token, and says what may go to the caller.

`StreamValidator` has no socket: it takes the bytes that arrived and returns
the bytes that are proven to be the next part of this request's own answer.  A
stream is whole only at its final event, whose token count must agree with
the tokens seen; a connection that closes is not an end.

Example::

    validator = StreamValidator('r1')
    validator.feed(b'data: {"id":"r1","n":0,"choices":[...]}\\n\\n')
    validator.next_index
    # 1
"""

import attrs
import orjson

_DONE = b'data: [DONE]'
_DATA_PREFIX = b'data: '
MAX_EVENT_BYTES = 1_000_000


class InvalidStream(Exception):
    """The bytes are not the next part of this request's answer."""


@attrs.define
class StreamValidator:
    """The state of one answer over all the streams that carry it.

    ``token_texts`` holds the text of each token so far, ``next_index`` their
    count.  ``usage`` is the final event's, ``None`` until it came.
    """

    request_id: str
    next_index: int = 0
    token_texts: list = attrs.field(factory=list)
    usage: dict | None = None
    finish_reason: str = ''
    is_complete: bool = False
    _buffer: bytes = b''

    def discard_partial_event(self):
        """Forget a partial event of a stream that broke."""
        self._buffer = b''

    def feed(self, data):
        """Return the checked events in ``data``; raise `InvalidStream`."""
        if self._buffer:
            data = self._buffer + data
        end = data.rfind(b'\n\n') + 2
        if end < 2:
            end = 0
        self._buffer = data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidStream('an event is over the size limit')
        if not end:
            return b''
        events = data[:end].split(b'\n\n')
        events.pop()
        new_events = [event for event in events if self._validate_event(event)]
        if not new_events:
            return b''
        new_events.append(b'')
        return b'\n\n'.join(new_events)

    def _validate_event(self, raw_event):
        if raw_event == _DONE:
            if self.usage is None:
                raise InvalidStream('the stream ended before its final event')
            self.is_complete = True
            return True
        if self.usage is not None:
            raise InvalidStream('an event came after the final one')
        try:
            event = orjson.loads(raw_event[len(_DATA_PREFIX) :])
            index = event['n']
            choice = event['choices'][0]
        except (orjson.JSONDecodeError, LookupError, TypeError) as exc:
            raise InvalidStream(f'an event cannot be read ({exc!r})')
        if event['id'] != self.request_id:
            raise InvalidStream(f'an event of request {event["id"]} came')
        if 'usage' in event:
            return self._validate_final_event(event, index, choice)
        if index != self.next_index:
            if index < self.next_index:
                # A resumed stream may repeat what was relayed already.
                return False
            raise InvalidStream(
                f'token {index} came, expected {self.next_index}'
            )
        self.token_texts.append(choice['delta'].get('content', ''))
        self.next_index += 1
        return True

    def _validate_final_event(self, event, index, choice):
        count = event['usage'].get('completion_tokens')
        if index != self.next_index or count != self.next_index:
            raise InvalidStream(
                f'the final event counts {count} tokens, '
                f'{self.next_index} came'
            )
        self.usage = event['usage']
        self.finish_reason = choice['finish_reason']
        return True

    def text(self):
        """Return the text of all tokens so far."""
        return ''.join(self.token_texts)
