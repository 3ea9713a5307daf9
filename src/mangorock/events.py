"""Server-sent events: cuts a stream into whole events and checks them.

Answers the pattern of a server that breaks off inside an event, and of a
stream that is resumed at another server: what the caller gets is one run of
events with increasing ids, each whole.

Example::

    splitter = EventSplitter()
    splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    # b'id: 1\\ndata: a\\n\\n'
    splitter.last_id                                  # 1
"""

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id: ?(\d+)\r?(?:\n|$)')


class EventOrderError(Exception):
    """The events of a stream are not one run in order."""


@attrs.define
class EventSplitter:
    """Keeps the id of the last whole event and the bytes behind it."""

    last_id: int | None = None
    partial_event: bytes = b''
    event_count: int = 0

    def feed(self, data):
        """Return the whole events that ``data`` completes.

        Raises `EventOrderError` where an id does not follow the one before.
        """
        data = self.partial_event + data
        end_offset = 0
        for separator in _END.finditer(data):
            self._check_id(data[end_offset : separator.start()])
            end_offset = separator.end()
        self.partial_event = data[end_offset:]
        return data[:end_offset]

    def _check_id(self, event):
        self.event_count += 1
        found = _ID.search(event)
        if found is None:
            return
        event_id = int(found.group(1))
        if self.last_id is not None and event_id != self.last_id + 1:
            raise EventOrderError(f'event {event_id} follows {self.last_id}')
        self.last_id = event_id

    def restart(self):
        """Drop a half event; the next bytes come from another server."""
        self.partial_event = b''

    @property
    def is_between_events(self):
        """Say whether no half event is waiting."""
        return not self.partial_event
