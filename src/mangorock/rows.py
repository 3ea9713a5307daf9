"""Row types of the tables of routes and pools, and their validation.

A row is parsed from JSON, validated field by field, and converted to a
frozen attrs object.  All faults of a table are collected, so that an
operator sees them at once.
"""

import attrs

MAX_NAME_CHARS = 64
MAX_DEADLINE_MS = 3_600_000
MAX_PRIORITY = 9

ROUTING_POLICIES = ('finish_time', 'least_load', 'round_robin')
PLANNING_POLICIES = ('static', 'planned')
ENGINE_ROLES = ('mixed', 'prefill', 'decode')
ROUTE_KINDS = ('completion', 'service')
POOL_KINDS = ('engines', 'services')


def _one_of(*choices):
    return {'choices': choices}


def _between(low, high):
    return {'low': low, 'high': high}


@attrs.frozen
class Account:
    """A client account that may use a route.

    ``share`` is its weight relative to the other accounts of the route.
    """

    key_sha256: str = attrs.field(metadata={'hex_chars': 64})
    share: int = attrs.field(default=1, metadata=_between(1, 1000))


@attrs.frozen
class Route:
    """Maps a model or service name to a pool, with limits and accounts.

    ``name`` is the model name in callers' requests, or the first path
    segment after ``/s/``.
    """

    name: str
    pool: str
    kind: str = attrs.field(
        default='completion', metadata=_one_of(*ROUTE_KINDS)
    )
    is_repeatable: bool = True
    priority: int = attrs.field(default=5, metadata=_between(0, MAX_PRIORITY))
    deadline_ms: int = attrs.field(
        default=30_000, metadata=_between(1, MAX_DEADLINE_MS)
    )
    max_output_tokens: int = attrs.field(
        default=1024, metadata=_between(1, 1_000_000)
    )
    path: str = '/'
    accounts: dict = attrs.field(factory=dict, metadata={'values': Account})


@attrs.frozen
class Server:
    """A backend server of a pool; ``address`` is ``'IP:port'``.

    ``checks_fencing`` tells whether an engine rejects orders with an
    outdated fencing token.  It must be false if this is not known.
    """

    address: str = attrs.field(metadata={'is_address': True})
    failure_domain: str
    vm: str = ''
    role: str = attrs.field(default='mixed', metadata=_one_of(*ENGINE_ROLES))
    checks_fencing: bool = False
    is_draining: bool = False


@attrs.frozen
class Pool:
    """A group of interchangeable backend servers.

    ``role_change_price_s`` is the pool's cost of a role change in
    engine-seconds, in addition to the time that the engine is unavailable.
    """

    name: str
    kind: str = attrs.field(default='engines', metadata=_one_of(*POOL_KINDS))
    model: str = ''
    routing: str = attrs.field(
        default='finish_time', metadata=_one_of(*ROUTING_POLICIES)
    )
    planning: str = attrs.field(
        default='static', metadata=_one_of(*PLANNING_POLICIES)
    )
    role_change_price_s: int = attrs.field(
        default=10, metadata=_between(0, 3600)
    )
    max_queue: int = attrs.field(default=64, metadata=_between(1, 100_000))
    servers: dict = attrs.field(factory=dict, metadata={'values': Server})


TABLES = {'routes': Route, 'pools': Pool}


def build(cls, data, path, faults):
    """Return an instance of ``cls`` from JSON ``data``, or ``None``.

    Each fault is appended to ``faults`` as a message that begins with
    ``path`` and ends with the remedy.
    """
    if not isinstance(data, dict):
        faults.append(f'{path}: not a JSON object; write one')
        return None
    fault_count = len(faults)
    known = {field.name: field for field in attrs.fields(cls)}
    for name in data:
        if name not in known:
            allowed = ', '.join(known)
            faults.append(f'{path}.{name}: unknown field; use {allowed}')
    values = {}
    for name, field in known.items():
        if name not in data:
            if field.default is attrs.NOTHING:
                faults.append(f'{path}.{name}: missing; add it')
            continue
        values[name] = _check_value(
            field, data[name], f'{path}.{name}', faults
        )
    return cls(**values) if len(faults) == fault_count else None


def _check_value(field, value, path, faults):
    if field.type is dict:
        return _check_dict(field, value, path, faults)
    if type(value) is not field.type:
        type_name = field.type.__name__
        faults.append(
            f'{path}: expected {type_name}, got {value!r}; correct the value'
        )
        return value
    rules = field.metadata
    if 'choices' in rules and value not in rules['choices']:
        choices = ', '.join(rules['choices'])
        faults.append(f'{path}: {value!r} is not one of {choices}')
    if 'low' in rules and not rules['low'] <= value <= rules['high']:
        faults.append(
            f'{path}: {value} is outside {rules["low"]} to '
            f'{rules["high"]}; choose a value in this range'
        )
    if 'hex_chars' in rules and not _is_hex(value, rules['hex_chars']):
        faults.append(
            f'{path}: expected {rules["hex_chars"]} hex digits; write the '
            'SHA-256 of the key'
        )
    if rules.get('is_address') and not is_address(value):
        faults.append(
            f'{path}: {value!r} is not of the form IP:port; write an IPv4 '
            'address and a port'
        )
    return value


def _check_dict(field, value, path, faults):
    if not isinstance(value, dict):
        faults.append(f'{path}: not a JSON object of rows; write one')
        return {}
    cls = field.metadata['values']
    built = {}
    for name, data in value.items():
        check_name(name, path, faults)
        built[name] = build(cls, data, f'{path}.{name}', faults)
    return built


def check_name(name, path, faults):
    """Append a fault unless ``name`` is usable in paths and store keys."""
    stripped = name.replace('-', '').replace('_', '').replace('.', '')
    if not stripped.isalnum() or len(name) > MAX_NAME_CHARS:
        faults.append(
            f'{path}: invalid name {name!r}; use 1 to {MAX_NAME_CHARS} '
            'letters, digits, "-", "_" and "."'
        )


def _is_hex(text, count):
    return len(text) == count and all(c in '0123456789abcdef' for c in text)


def is_address(text):
    """Return whether ``text`` is ``IP:port`` with an IPv4 address."""
    host, _, port = text.rpartition(':')
    parts = host.split('.')
    if len(parts) != 4 or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    return all(p.isdigit() and int(p) < 256 for p in parts)
