"""The operators' configuration: routes, services, accounts and limits.

A `Catalog` is one immutable version of the configuration, whatever store it
was read from.  A request is matched to a route by host and by the longest
path prefix; a route that is split between services selects one by weight.
Where the configuration has client accounts, a request belongs to the account
of its key.

Example::

    route = catalog.find_route('desk.example', '/orders/17')
    service = route.pick_service(random.random())
    account = catalog.find_account('rjvz48wuakn2')
"""

import enum

import attrs


class Kind(enum.Enum):
    """The kind of a route's requests; safe ones may run more than once."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class Share:
    """The weight of ``service`` among the services of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The rules for requests to one host and path prefix.

    Requests of a route with ``is_public`` need no key.  ``timeout_s`` is the
    longest time that a request may wait, ``target_s`` the intended time to
    the first byte, ``max_gap_s`` the longest pause within a stream (0:
    unspecified).  Callers close a stream that sends nothing for
    ``caller_read_timeout_s`` (None: unknown).  ``priority`` 0 is the most
    urgent.  ``max_servers`` bounds the backend servers on which one request
    may run.
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
    is_public: bool = False

    @property
    def is_repeatable(self):
        """Say whether a request may run more than once."""
        return self.kind is Kind.SAFE or self.is_resumable

    def pick_service(self, point):
        """Return the service name at ``point`` in [0, 1) of the weights."""
        total = sum(share.weight for share in self.shares)
        remaining = point * total
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class EngineProfile:
    """The properties that all engines of a service share.

    ``slots`` is the number of requests that run at once, ``kv_tokens`` the
    capacity of the KV cache and ``handle_ttl_s`` how long an engine keeps a
    prefilled prompt for its decode.  One event of a stream holds up to
    ``event_tokens`` tokens.
    """

    slots: int
    kv_tokens: int
    handle_ttl_s: float
    event_tokens: int = 1


@attrs.frozen
class Scaling:
    """How many servers of a service may be ordered, and what they cost.

    ``min_servers`` and ``max_servers`` hold for each failure domain.  A new
    server serves after ``boot_s``.  ``domain_prices`` are the prices of a
    server for a second by failure domain; a spot server, which may be
    reclaimed, costs ``spot_price`` of that.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    spot_price: float
    domain_prices: dict


@attrs.frozen
class Service:
    """Interchangeable backend servers; ``engine`` is None for plain ones.

    ``max_connections`` is the number of connections that one server accepts
    in total.  ``scaling`` is None where no servers can be ordered.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    scaling: Scaling | None = None


@attrs.frozen
class Account:
    """A client account; its keys authenticate the requests of its callers.

    ``priority`` takes precedence over that of a route; None leaves it.
    """

    name: str
    keys: tuple = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size and the idle time of a caller's connection."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4194304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Catalog:
    """One version of the configuration, with indexes by host and by key.

    ``accounts`` is None where requests need no key.
    """

    version: int
    routes: tuple
    services: dict
    limits: CallerLimits
    accounts: tuple | None = None
    by_host: dict = attrs.field(init=False, repr=False, eq=False)
    by_key: dict = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self):
        by_key = {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }
        object.__setattr__(self, 'by_key', by_key)
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, 'by_host', by_host)

    def find_account(self, key):
        """Return the `Account` that holds ``key``, or None."""
        return self.by_key.get(key)

    def find_route(self, host, path):
        """Return the route of the longest matching prefix, or None.

        Prefixes begin and end with a slash, so only the parts of the path
        that end with a slash are looked up, the longest first.
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
    """Return the catalog of a daemon that has read no configuration yet."""
    return Catalog(0, (), {}, CallerLimits())
