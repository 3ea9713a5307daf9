"""Splits a stream of server-sent events and checks the order of their ids.

A server may fail in the middle of an event, and its stream may be resumed on
another server.  The caller nevertheless gets one sequence of complete events
with consecutive ids.

Example::

    splitter = EventSplitter()
    splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    # b'id: 1\\ndata: a\\n\\n'
    splitter.last_id                                  # 1
"""

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
_LONGEST_END_BYTES = 4
# Lines that begin with a colon say nothing; servers send them to keep a
# connection open.
_COMMENTS = re.compile(rb'(?::[^\n]*(?:\n|\Z)|\r?\n)*')
_ID = re.compile(rb'(?:^|\n)id: ?(\d+)\r?(?:\n|$)')


# A longer event is not valid; without a limit, a server that never ends one
# would fill the memory.
MAX_EVENT_BYTES = 1 << 20


class EventOrderError(Exception):
    """An event does not belong where it came.

    The ids are not consecutive, one is missing, or an event has no end.
    """


@attrs.define
class EventSplitter:
    """Keeps the id of the last complete event and the bytes after it.

    ``event_count`` is the number of complete events so far.  The first
    ``searched_bytes`` of the partial event do not contain its end.
    """

    last_id: int | None = None
    partial_event: bytearray = attrs.field(factory=bytearray)
    searched_bytes: int = 0
    event_count: int = 0

    def feed(self, data):
        """Return the events that ``data`` completes, as bytes.

        Raises `EventOrderError` if an id does not follow the one before, or
        is missing after others: such text may be an error of the server.
        """
        pending = self.partial_event
        pending += data
        start_offset = max(0, self.searched_bytes - _LONGEST_END_BYTES + 1)
        end_offset = 0
        for separator in _END.finditer(pending, start_offset):
            self._check_id(pending[end_offset : separator.start()])
            end_offset = separator.end()
        whole = bytes(pending[:end_offset])
        del pending[:end_offset]
        self.searched_bytes = len(pending)
        if len(pending) > MAX_EVENT_BYTES:
            raise EventOrderError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes'
            )
        return whole

    def _check_id(self, event):
        self.event_count += 1
        found = _ID.search(event)
        if found is None and self.last_id is None:
            return
        if found is None:
            if _COMMENTS.fullmatch(event):
                return
            raise EventOrderError(f'an event after {self.last_id} has no id')
        event_id = int(found.group(1))
        if self.last_id is not None and event_id != self.last_id + 1:
            raise EventOrderError(
                f'event id {event_id} does not follow {self.last_id}'
            )
        self.last_id = event_id

    def restart(self):
        """Drop a partial event; the next bytes come from another server."""
        self.partial_event = bytearray()
        self.searched_bytes = 0

    @property
    def is_between_events(self):
        """Return whether no partial event is buffered."""
        return not self.partial_event
