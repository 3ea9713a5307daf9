"""Ends the requests of a VM that stops as planned.

Idle connections stay open until the load balancer has removed the VM, so that
no caller finds its connection closed.  A request that may take longer than the
time left is refused as not run: while most VMs of a failure domain stop, the
load balancer sends new connections to stopping VMs too.  What is open at the
end is answered.
"""

import time

import attrs
import curio

from mangorock import logs

# Part of the grace period reserved for closing open connections.
STOP_MARGIN_S = 0.4
# Time from SIGTERM until idle connections are closed; by then the load
# balancer sends no new connections to this VM.
CLOSE_IDLE_AFTER_S = 3.0
STOP_CHECK_INTERVAL_S = 0.05
# Part of the margin in which the last requests get their answer, and what each
# of them needs: many are answered sooner.
LAST_ANSWERS_S = 0.3
ANSWER_S = 0.002


@attrs.define
class Shutdown:
    """A planned stop within a grace period that may become shorter.

    ``ingress`` and ``gateway`` are those of the VM; ``gateway.stops_at_s`` is
    set to the end.  Call `begin`, `run`, and `limit` when the settings change
    meanwhile.
    """

    ingress: object
    gateway: object
    since_s: float = 0.0

    def begin(self, grace_s):
        """Start the stop, which has to end ``grace_s`` from now."""
        self.since_s = time.monotonic()
        self.ingress.is_stopping = True
        logs.event('stopping', in_flight=self.ingress.in_flight)
        self.limit(grace_s)

    def limit(self, grace_s):
        """End the stop ``grace_s`` after its beginning at the latest.

        A period that becomes longer changes nothing, as the platform may
        have begun to count the earlier one.
        """
        end_s = self.since_s + grace_s - STOP_MARGIN_S
        known_s = self.gateway.stops_at_s
        self.gateway.stops_at_s = min(end_s, known_s or end_s)

    async def run(self):
        """Wait for the end; return whether all requests were served."""
        close_idle_at_s = self.since_s + CLOSE_IDLE_AFTER_S
        while time.monotonic() < min(close_idle_at_s, self._answers_at_s()):
            await curio.sleep(STOP_CHECK_INTERVAL_S)
        await self._end_connections()
        return not self.ingress.in_flight

    def _answers_at_s(self):
        """Return when to answer what is open, so that all get an answer."""
        return self.gateway.stops_at_s - ANSWER_S * self.ingress.in_flight

    async def _end_connections(self):
        """Wait until no connection is left, at most until the stop ends.

        The last check follows the end of the listening socket, so that no
        request can come after it.  Requests that are still open then are
        answered: what was not sent has not run.
        """
        has_ended_requests = False
        while True:
            is_over = time.monotonic() >= self._answers_at_s()
            if is_over or not self.ingress.connections:
                await self.ingress.close()
            if not self.ingress.connections:
                return
            if is_over and not has_ended_requests:
                has_ended_requests = True
                await self.ingress.end_requests()
            if time.monotonic() >= self.gateway.stops_at_s + LAST_ANSWERS_S:
                logs.warning(
                    'connections_cut', count=len(self.ingress.connections)
                )
                return
            await self.ingress.close_idle_connections()
            await curio.sleep(STOP_CHECK_INTERVAL_S)
