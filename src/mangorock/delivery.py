"""Delivers the events of a stream to the caller and measures their pace."""

import time

import attrs

from mangorock import events

# Interval at which the pace of a stream is reported, in seconds.
PACE_INTERVAL_S = 0.5


@attrs.define
class EventRelay:
    """Writes the events of one answer to the caller.

    The response head is that of the first server, even if another one
    resumes the stream later.
    """

    context: object
    reply: object
    splitter: events.EventSplitter
    is_caller_gone: bool = False
    placer: object = None
    server: object = None
    on_first_event: object = None
    last_event_at_s: float = 0.0
    delivered_at_s: float = 0.0
    on_pace: object = None
    paced_from_s: float = 0.0
    paced_events: int = 0

    @property
    def is_resumable(self):
        """Say whether another server can be told where to go on."""
        return self.splitter.last_id is not None

    def switch_server(self, placer, server, on_first_event, on_pace):
        """Relay the events of another server from now on.

        ``on_first_event(answer)`` is called once, for the first of them, and
        ``on_pace(server, events, seconds)`` at times for some of them.
        """
        self.placer, self.server = placer, server
        self.on_first_event, self.on_pace = on_first_event, on_pace
        self.last_event_at_s = 0.0
        self.paced_events = self.splitter.event_count

    def report_pace(self):
        """Report the events since the last report, if there are any."""
        event_count = self.splitter.event_count - self.paced_events
        if self.last_event_at_s and event_count > 1:
            seconds = self.last_event_at_s - self.paced_from_s
            self.on_pace(self.server, event_count, seconds)
            # The last event reported is the first one of the next report.
            self.paced_from_s = self.last_event_at_s
            self.paced_events = self.splitter.event_count - 1

    async def feed(self, answer, data):
        """Write complete events to the caller.

        The first event of a server shows that it has processed the prompt.
        """
        now = time.monotonic()
        self.context.first_event_at_s = self.context.first_event_at_s or now
        if self.last_event_at_s:
            self.placer.on_gap(self.server, now - self.last_event_at_s, now)
        else:
            self.paced_from_s = self.context.begun_at_s = now
            self.on_first_event(answer)
        self.last_event_at_s = self.delivered_at_s = now
        if now - self.paced_from_s > PACE_INTERVAL_S:
            self.report_pace()
        try:
            if not self.reply.is_started:
                await self.reply.start(answer.status, answer.headers, data)
            else:
                await self.reply.send(data)
        except OSError:
            self.is_caller_gone = True
            raise

    async def end(self, answer):
        """End the answer, with an empty body if no event came."""
        if not self.reply.is_started:
            await self.reply.start(answer.status, answer.headers)
        await self.reply.end()
