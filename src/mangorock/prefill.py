"""Tracks the prompts that engines are processing."""

import time

import attrs


@attrs.define
class PendingPrompt:
    """A prompt that an engine is processing.

    It counts towards the load of the engine until `release` is called.
    """

    placer: object
    server: object
    tokens: int
    cost_s: float | None = None
    started_s: float = attrs.field(factory=time.monotonic)

    def complete(self):
        """Record that the prompt was processed; return the seconds taken."""
        seconds = time.monotonic() - self.started_s
        if self.tokens:
            self.placer.on_prefilled(
                self.server, self.tokens, seconds, self.cost_s
            )
        self.release()
        return seconds

    def __attrs_post_init__(self):
        self.placer.add_backlog(self.server, self.tokens)

    def release(self):
        """Remove the prompt from the load, however it ended; idempotent."""
        self.placer.add_backlog(self.server, -self.tokens)
        self.tokens = 0
