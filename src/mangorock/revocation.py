"""Decides whether the key of a request is certain to be valid still.

Keys are taken away from callers that stay connected, also while a VM is cut
off from the store, frozen or restarted.  Where revocation is strict, a request
that was sent later than a bound after its key was removed must not run, so a
VM serves a request only if it received it within that bound of a moment at
which the store confirmed the configuration.  The key was valid then, and what
was sent before the end of the bound may run whenever its turn comes.

Times are of `clocks.boot_clock`, as a VM may be suspended at any point.

Example::

    keys = KeyConfirmation(bound_s=5.0)
    keys.on_confirmed(100.0)
    keys.is_certain(104.9)      # True
    keys.is_certain(105.1)      # False, until the store confirms again
"""

import attrs


@attrs.define
class KeyConfirmation:
    """When the keys of the configuration in force were last confirmed.

    ``bound_s`` is the time after which a removed key must not work, None
    where revocation is not strict.  ``confirmed_s`` is when the newest call
    that showed the configuration was sent: a change that it did not show was
    acknowledged later.
    """

    bound_s: float | None = None
    confirmed_s: float = float('-inf')

    def on_confirmed(self, sent_s):
        """Record that a call which was sent at ``sent_s`` was answered."""
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def is_certain(self, received_s):
        """Return whether a request received then may use its key."""
        if self.bound_s is None:
            return True
        return received_s - self.confirmed_s <= self.bound_s
