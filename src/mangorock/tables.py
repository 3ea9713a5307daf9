"""Routes and pools as a single versioned value.

Both tables are stored together under one key of the platform's key-value
service.  An edit states the revision that it expects its row to have:
concurrent edits of different rows are merged, concurrent edits of the same
row conflict.  Each change has an id that is kept in a bounded log inside
the value, so a writer whose response was lost can read the value again and
find out whether its change was accepted.

Example::

    tables = empty()
    edit = Edit('pools', 'assistant', {'name': 'assistant'}, 0)
    tables = apply(tables, [edit], change_id='c1', author='ops')
    tables.revision
    # 1
"""

import hashlib

import attrs
import orjson

from mangorock import errors
from mangorock import rows

KEY = 'mangorock/tables'
MAX_LOGGED_CHANGES = 128
MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class Edit:
    """Writes a row (``row`` is its JSON data) or deletes it (``None``).

    ``expected`` is the revision of the row on which the edit is based, or 0
    if the row must not exist yet.
    """

    table: str
    name: str
    row: dict | None
    expected: int


@attrs.frozen
class Change:
    """An entry of the log of accepted changes."""

    id: str
    revision: int
    author: str
    rows: tuple


@attrs.frozen
class Tables:
    """An immutable revision of both tables.

    ``routes`` and ``pools`` map names to `rows.Route` and `rows.Pool`;
    ``row_revisions`` maps ``'routes/NAME'`` or ``'pools/NAME'`` to the
    revision that last wrote the row.
    """

    revision: int
    routes: dict
    pools: dict
    row_revisions: dict
    changes: tuple
    _account_names: dict = attrs.field(factory=dict, eq=False, repr=False)

    def account_names(self):
        """Return the account names of all routes, by the key's digest."""
        if not self._account_names:
            for route in self.routes.values():
                for name, account in route.accounts.items():
                    self._account_names[account.key_sha256] = name
        return self._account_names

    def to_data(self):
        """Return the tables as JSON-serializable data."""
        return {
            'revision': self.revision,
            'routes': {n: attrs.asdict(r) for n, r in self.routes.items()},
            'pools': {n: attrs.asdict(p) for n, p in self.pools.items()},
            'row_revisions': dict(self.row_revisions),
            'changes': [attrs.asdict(c) for c in self.changes],
        }

    def find_change(self, change_id):
        """Return the logged `Change` with this id, or ``None``."""
        for change in self.changes:
            if change.id == change_id:
                return change
        return None


def empty():
    """Return empty `Tables` with revision 0."""
    return Tables(0, {}, {}, {}, ())


def from_data(data):
    """Return `Tables` from JSON data; raise `errors.InvalidTables`."""
    faults = []
    built = {}
    for table, cls in rows.TABLES.items():
        built[table] = {}
        for name, row in data.get(table, {}).items():
            built[table][name] = build_row(cls, table, name, row, faults)
    if not faults:
        faults += check_references(built['routes'], built['pools'])
    if faults:
        raise errors.InvalidTables('; '.join(faults))
    changes = tuple(
        Change(c['id'], c['revision'], c['author'], tuple(c['rows']))
        for c in data.get('changes', ())
    )
    return Tables(
        data.get('revision', 0),
        built['routes'],
        built['pools'],
        data.get('row_revisions', {}),
        changes,
    )


def build_row(cls, table, name, row, faults):
    """Return a validated row; its ``name`` field must equal its key."""
    path = f'{table}.{name}'
    rows.check_name(name, table, faults)
    built = rows.build(cls, row, path, faults)
    if built is not None and built.name != name:
        faults.append(
            f'{path}.name: {built.name!r} differs from the key of the row; '
            f'write {name!r}'
        )
    return built


def check_references(routes, pools):
    """Return the violations of rules that span several rows.

    A route must refer to a pool of the matching kind, a server address may
    occur once, and an account has one key, which no other account has.
    """
    faults = []
    for route in routes.values():
        pool = pools.get(route.pool)
        if pool is None:
            faults.append(
                f'routes.{route.name}.pool: pool {route.pool!r} does not '
                'exist; add the pool first or use another'
            )
            continue
        required_kind = 'engines' if route.kind == 'completion' else 'services'
        if pool.kind != required_kind:
            faults.append(
                f'routes.{route.name}.pool: pool {route.pool!r} contains '
                f'{pool.kind}; a {route.kind} route requires {required_kind}'
            )
    faults += _check_server_addresses(pools)
    faults += _check_account_keys(routes)
    return faults


def _check_server_addresses(pools):
    faults = []
    seen = {}
    for pool in pools.values():
        for name, server in pool.servers.items():
            other = seen.setdefault(server.address, f'{pool.name}.{name}')
            if other != f'{pool.name}.{name}':
                faults.append(
                    f'pools.{pool.name}.servers.{name}: address '
                    f'{server.address} is already used by {other}; a server '
                    'may belong to only one pool'
                )
    return faults


def _check_account_keys(routes):
    faults = []
    seen = {}
    digests = {}
    for route in routes.values():
        for name, account in route.accounts.items():
            other = seen.setdefault(account.key_sha256, name)
            digest = digests.setdefault(name, account.key_sha256)
            if digest != account.key_sha256:
                faults.append(
                    f'routes.{route.name}.accounts.{name}: the key differs '
                    'from the key on another route; use the same key on all '
                    'routes of an account'
                )
            if other != name:
                faults.append(
                    f'routes.{route.name}.accounts.{name}: the key is also '
                    f'used by account {other!r}; use a different key for '
                    'each account'
                )
    return faults


def apply(tables, edits, change_id, author):
    """Return the `Tables` that result from applying ``edits``.

    Returns ``tables`` unchanged if ``change_id`` is already in the log.
    Raises `errors.Conflict` if a row is not at its expected revision, and
    `errors.InvalidTables` if the result is not valid.
    """
    if tables.find_change(change_id) is not None:
        return tables
    revision = tables.revision + 1
    data = tables.to_data()
    changed_paths = []
    for edit in edits:
        _check_edit(tables, edit)
        path = f'{edit.table}/{edit.name}'
        changed_paths.append(path)
        if edit.row is None:
            data[edit.table].pop(edit.name, None)
            data['row_revisions'].pop(path, None)
        else:
            data[edit.table][edit.name] = edit.row
            data['row_revisions'] |= {path: revision}
    change = Change(change_id, revision, author, tuple(changed_paths))
    recent_changes = [*tables.changes, change][-MAX_LOGGED_CHANGES:]
    data['changes'] = [attrs.asdict(c) for c in recent_changes]
    data['revision'] = revision
    newer = from_data(data)
    # The size is computed with the defaults filled in, as the value will
    # be stored.
    size = len(orjson.dumps(newer.to_data()))
    if size > MAX_VALUE_BYTES:
        raise errors.InvalidTables(
            f'the tables would have {size} bytes, the limit is '
            f'{MAX_VALUE_BYTES}; remove rows or accounts first'
        )
    return newer


def _check_edit(tables, edit):
    if edit.table not in rows.TABLES:
        raise errors.InvalidTables(
            f'table {edit.table!r} does not exist; use routes or pools'
        )
    path = f'{edit.table}/{edit.name}'
    found = tables.row_revisions.get(path, 0)
    if found == edit.expected:
        return
    last = next((c for c in reversed(tables.changes) if path in c.rows), None)
    by = f' by {last.author} (change {last.id})' if last else ''
    raise errors.Conflict(
        f'{path} is at revision {found}{by}, but the edit expects revision '
        f'{edit.expected}; show the row and edit it again'
    )


# Earlier revisions kept so that peers can be sent deltas.
MAX_HISTORY_REVISIONS = 16


@attrs.define
class TablesHistory:
    """The revision that a daemon uses, and recent earlier revisions.

    The current revision never decreases.
    """

    current: Tables = attrs.field(factory=empty)
    history: dict = attrs.field(factory=dict)

    def advance(self, newer):
        """Replace the current revision if ``newer`` is newer.

        Returns whether it was replaced.
        """
        if not self.is_newer(newer):
            return False
        self.history[self.current.revision] = self.current
        for revision in sorted(self.history)[:-MAX_HISTORY_REVISIONS]:
            del self.history[revision]
        self.current = newer
        return True

    def is_newer(self, other):
        """Return whether ``other`` is newer than the current revision."""
        return other.revision > self.current.revision

    def changes_since(self, revision):
        """Return what a daemon at ``revision`` needs to catch up.

        This is a `Delta` if the revision is in the history, the complete
        `Tables` if not, and ``None`` if there is nothing newer.
        """
        if revision >= self.current.revision:
            return None
        old = self.history.get(revision)
        if old is None or not revision:
            return self.current
        return make_delta(old, self.current)


def flatten(data):
    """Return nested JSON data as a flat dict of path to leaf value.

    Example::

        >>> flatten({'routes': {'a': {'priority': 5}}})
        {'routes/a/priority': 5}
    """
    flat = {}
    _flatten_into(flat, '', data)
    return flat


def _flatten_into(flat, prefix, value):
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            path = f'{prefix}/{name}' if prefix else name
            _flatten_into(flat, path, inner)
        return
    flat[prefix] = value


def unflatten(flat):
    """Return the nested data that `flatten` made ``flat`` from."""
    data = {}
    for path, value in flat.items():
        *parents, leaf = path.split('/')
        node = data
        for parent in parents:
            node = node.setdefault(parent, {})
        node[leaf] = value
    return data


def digest(flat):
    """Return the SHA-256 (hex) of a flattened value."""
    data = orjson.dumps(flat, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


@attrs.frozen
class Delta:
    """The difference between two flattened revisions of the tables.

    Applying it to revision ``base`` gives ``revision``.  ``put`` maps the
    paths of new and changed leaves to their values, ``deleted`` lists the
    paths of removed leaves, and ``digest`` is the `digest` of the result.
    """

    base: int
    revision: int
    put: dict
    deleted: tuple
    digest: str


def make_delta(old, new):
    """Return the `Delta` between two `Tables`."""
    before, after = _flatten_rows(old), _flatten_rows(new)
    put = {
        path: value
        for path, value in after.items()
        if path not in before or before[path] != value
    }
    deleted = tuple(path for path in before if path not in after)
    return Delta(old.revision, new.revision, put, deleted, digest(after))


def apply_delta(tables, delta):
    """Return the `Tables` that result from applying ``delta``.

    Raises `errors.Conflict` if the base or the digest does not match; the
    caller then requests the complete tables instead.
    """
    if delta.base != tables.revision:
        raise errors.Conflict(
            f'the delta is based on revision {delta.base}, but the tables '
            f'are at revision {tables.revision}; request the complete tables'
        )
    flat = _flatten_rows(tables)
    for path in delta.deleted:
        flat.pop(path, None)
    flat |= delta.put
    if digest(flat) != delta.digest:
        raise errors.Conflict(
            'the digest does not match after applying the delta; request '
            'the complete tables'
        )
    data = unflatten(flat)
    # The keys of row_revisions contain a "/", so unflatten() nested them.
    data['row_revisions'] = flatten(data.get('row_revisions') or {'': 0})
    data['row_revisions'].pop('', None)
    data['changes'] = tables.to_data()['changes']
    return from_data(data)


def _flatten_rows(tables):
    data = tables.to_data()
    # Only writers need the log of changes, and they read it from the
    # platform; daemons that receive a delta need only the rows.
    del data['changes']
    return flatten(data)
