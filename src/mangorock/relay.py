"""Validates a response stream token by token before it is relayed.

`StreamValidator` does no I/O: it takes received bytes and returns those that
are verified to be the next part of this request's response.  A stream is
complete only after its final event and the ``[DONE]`` marker.  The token
count in the final event must match the tokens received.  A closed connection
does not complete a stream.

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
    """The bytes are not the next part of this request's response."""


@attrs.define
class StreamValidator:
    """State of one response across all streams that deliver parts of it.

    ``token_texts`` holds the text of each token received so far, and
    ``next_index`` is the index of the next token.  ``usage`` is taken from
    the final event and is ``None`` before that.
    """

    request_id: str
    next_index: int = 0
    token_texts: list = attrs.field(factory=list)
    usage: dict | None = None
    finish_reason: str = ''
    is_complete: bool = False
    _buffer: bytearray = attrs.field(factory=bytearray)

    def discard_partial_event(self):
        """Discard the incomplete event of a broken stream."""
        self._buffer = bytearray()

    def feed(self, data):
        """Return the new, valid events in ``data``.

        An incomplete event is buffered until the rest of it arrives.  Raises
        `InvalidStream` if an event is not valid.
        """
        # The bytes that were there before have been searched.
        start = max(0, len(self._buffer) - 1)
        self._buffer += data
        end = self._buffer.rfind(b'\n\n', start) + 2
        if end < 2:
            end = 0
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidStream('an event exceeds the size limit')
        if not end:
            return b''
        events = whole.split(b'\n\n')
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
            raise InvalidStream('received an event after the final event')
        try:
            event = orjson.loads(raw_event[len(_DATA_PREFIX) :])
            index = event['n']
            choice = event['choices'][0]
        except (orjson.JSONDecodeError, LookupError, TypeError) as exc:
            raise InvalidStream(f'malformed event ({exc!r})')
        if event['id'] != self.request_id:
            raise InvalidStream(f'received an event of request {event["id"]}')
        if 'usage' in event:
            return self._validate_final_event(event, index, choice)
        if index != self.next_index:
            if index < self.next_index:
                # A resumed stream may repeat tokens that were already relayed.
                return False
            raise InvalidStream(
                f'received token {index}, expected {self.next_index}'
            )
        self.token_texts.append(choice['delta'].get('content', ''))
        self.next_index += 1
        return True

    def _validate_final_event(self, event, index, choice):
        count = event['usage'].get('completion_tokens')
        if index != self.next_index or count != self.next_index:
            raise InvalidStream(
                f'the final event counts {count} tokens, but '
                f'{self.next_index} were received'
            )
        self.usage = event['usage']
        self.finish_reason = choice['finish_reason']
        return True

    def text(self):
        """Return the text of all tokens received so far."""
        return ''.join(self.token_texts)
