"""Keeps the registry of backend servers as the platform's store has it."""

import time

import attrs

from mangorock import logs
from mangorock import mirror


@attrs.define
class Discovery:
    """Applies what `mirror.follow` reads to a `registry.Registry`.

    ``platform`` is as for `front.FrontDaemon`.
    """

    registry: object
    platform: object

    def on_listing(self, items):
        """Replace all servers."""
        found = filter(None, map(self.platform.decode_server, items))
        now = time.monotonic()
        self.registry.replace(list(found), now)
        self.registry.last_contact_s = now
        logs.event(
            'servers_listed',
            servers=len(self.registry.servers),
            revision=max((item.revision for item in items), default=0),
        )

    def on_events(self, events):
        """Apply changes of servers."""
        now = time.monotonic()
        self.registry.last_contact_s = now
        for event in events:
            match event:
                case mirror.Item():
                    self._apply_item(event)
                case mirror.Removal():
                    server_id = self.platform.server_id(event.key)
                    self.registry.remove(server_id, now)
                    logs.event(
                        'server_lapsed',
                        server=server_id,
                        revision=event.revision,
                    )

    def _apply_item(self, item):
        server = self.platform.decode_server(item)
        if server is None:
            return
        known = self.registry.servers.get(server.server_id)
        if self.registry.put(server):
            logs.event(
                'server_changed',
                server=server.server_id,
                service=server.service,
                started_ms=server.started_ms,
                sequence=server.sequence,
                known_sequence=known.sequence if known else -1,
                is_draining=server.is_draining,
                stage=server.stage and server.stage.value,
                revision=item.revision,
            )
