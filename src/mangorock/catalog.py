"""What operators have configured: routes, services and callers' limits.

A `Catalog` is one version of the configuration, read once from wherever it
is kept and never changed.  A request finds its route by host and by the
longest path prefix; a route that is split between services picks one by
weight.

Example::

    route = catalog.find_route('desk.example', '/orders/17')
    service = route.pick_service(random.random())
"""

import enum

import attrs


class Kind(enum.Enum):
    """What may be repeated: a safe request, or none of the others."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class Share:
    """The part of a route's requests that goes to ``service``."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route.

    ``timeout_s`` is the longest time that a request is kept waiting,
    ``target_s`` the time to the first byte that callers hope for,
    ``max_gap_s`` the longest pause within a stream (0: none stated).
    Callers leave a stream that is silent for ``caller_read_timeout_s``
    (None: not known).  ``priority`` 0 is the most urgent.  ``max_servers``
    bounds the backend servers on which one request may run.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple
    timeout_s: float
    target_s: float
    max_gap_s: float = 0.0
    priority: int = 0
    max_servers: int = 1
    is_resumable: bool = False
    caller_read_timeout_s: float | None = None

    @property
    def is_repeatable(self):
        """Say whether a request may run more than once."""
        return self.kind is Kind.SAFE or self.is_resumable

    def pick_service(self, point):
        """Return the service name at ``point`` in [0, 1)."""
        total = sum(share.weight for share in self.shares)
        remaining = point * total
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class EngineProfile:
    """What the engines of a service have in common.

    ``slots`` requests run at once; ``kv_tokens`` is the memory for KV
    cache; ``handle_ttl_s`` is how long a prefilled prompt is kept for its
    decode.
    """

    slots: int
    kv_tokens: int
    handle_ttl_s: float


@attrs.frozen
class Service:
    """A set of like backend servers; ``engine`` is None for plain ones.

    ``max_connections`` is what one server accepts from all callers.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4194304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Catalog:
    """One version of the configuration."""

    version: int
    routes: tuple
    services: dict
    limits: CallerLimits
    by_host: dict = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, 'by_host', by_host)

    def find_route(self, host, path):
        """Return the route of the longest matching prefix, or None.

        Prefixes begin and end with a slash, so only the parts of the path
        that end at a slash are looked up, the longest first.
        """
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def make_empty_catalog():
    """Return the catalog of a daemon that has not read any version."""
    return Catalog(0, (), {}, CallerLimits())
