"""The command-line tool ``mangorockctl``.

It calls the administration API of a daemon; any daemon will do.  Commands::

    mangorockctl show [routes|pools [NAME]]
    mangorockctl check FILE [--boot SETTINGS]
    mangorockctl diff FILE
    mangorockctl apply FILE
    mangorockctl set TABLE NAME FIELD=JSON ...
    mangorockctl delete TABLE NAME
    mangorockctl wait REVISION
    mangorockctl status
    mangorockctl history

`check` also takes a configuration of the users' platform, without a daemon.

Exit status: 0 success, 1 refused, 2 usage error, 3 conflict with another
change, 4 outcome unknown, 5 not in force on all daemons before the timeout.
"""

import os
import sys
import time
import uuid

from absl import app
from absl import flags
import curio
import curio.errors
import h11
import orjson

from mangorock import client
from mangorock import config_command
from mangorock import rows
from mangorock import tables

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_NOT_IN_FORCE = 5
CALL_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2

FLAGS = flags.FLAGS


class CtlError(Exception):
    """An error that ends the command with an exit status."""

    def __init__(self, message, status=EXIT_REFUSED):
        super().__init__(message)
        self.status = status


def define_flags():
    """Define the flags.

    The defaults of the address and the token are taken from environment
    variables.
    """
    flags.DEFINE_string(
        'address',
        os.environ.get('MANGOROCK_ADMIN_ADDRESS', '127.0.0.1:8081'),
        "IP:port of a daemon's administration API",
    )
    flags.DEFINE_string(
        'token',
        os.environ.get('MANGOROCK_OPERATOR_TOKEN', ''),
        'operator token',
    )
    flags.DEFINE_string(
        'author', 'operator', 'author to record in the log of changes'
    )
    flags.DEFINE_string(
        'change_id',
        '',
        'id of the change; a change with the same id is applied only once',
    )
    flags.DEFINE_integer(
        'expected', None, 'row revision required by "set" and "delete"'
    )
    flags.DEFINE_boolean('json', False, 'print JSON instead of tables')
    flags.DEFINE_boolean(
        'wait', False, 'wait until the change is in force on all live daemons'
    )
    flags.DEFINE_string(
        'boot',
        os.environ.get('MANGOROCK_BOOT', ''),
        'settings file of a VM of the platform, to compare a checked file '
        'with the version in its store',
    )
    flags.DEFINE_float('timeout_s', 15.0, 'maximum time to wait in seconds')


class AdminApi:
    """Client for the administration API of a daemon."""

    def __init__(self, address, token):
        self.address = address
        self.token = token
        self.client = client.Client()

    async def call(self, method, path, data=None):
        """Return the decoded JSON response.

        Raises `CtlError` if the call fails or is refused.
        """
        body = b'' if data is None else orjson.dumps(data)
        headers = []
        if self.token:
            headers.append(('authorization', f'Bearer {self.token}'))
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                status, answer = await self.client.call(
                    self.address, method, path, headers, body
                )
        except (OSError, h11.ProtocolError, curio.errors.TaskTimeout) as exc:
            raise CtlError(
                f'{self.address} did not respond ({exc!r}); check --address, '
                'and retry a change with the same --change_id',
                EXIT_UNKNOWN,
            )
        reply = orjson.loads(answer)
        if status == 200:
            return reply
        error = reply['error']
        exit_statuses = {409: EXIT_CONFLICT, 504: EXIT_UNKNOWN}
        raise CtlError(
            f'{error["reason"]}: {error["message"]}',
            exit_statuses.get(status, EXIT_REFUSED),
        )


def read_file(path):
    """Read tables from a JSON file."""
    try:
        with open(path, 'rb') as file:
            data = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as exc:
        raise CtlError(f'{path}: {exc}; a JSON file is required', EXIT_USAGE)
    if not isinstance(data, dict):
        raise CtlError(
            f'{path}: the file does not contain a JSON object', EXIT_USAGE
        )
    return data


def make_edits(current, target):
    """Return the edits that change the tables ``current`` to ``target``.

    ``target`` may omit fields that have default values.  The order of the
    edits does not matter, as they are applied atomically in one change.
    """
    revisions = current['row_revisions']
    complete = tables.from_data(target).to_data()
    edits = []
    for table in rows.TABLES:
        old, new = current[table], complete[table]
        for name in sorted(set(old) | set(new)):
            if old.get(name) == new.get(name):
                continue
            edits.append(
                {
                    'table': table,
                    'name': name,
                    'row': new.get(name),
                    'expected': revisions.get(f'{table}/{name}', 0),
                }
            )
    return edits


def parse_fields(arguments):
    """Parse ``FIELD=JSON`` arguments into a dict.

    A value that is not valid JSON is taken as a string.
    """
    fields = {}
    for argument in arguments:
        name, separator, text = argument.partition('=')
        if not separator:
            raise CtlError(
                f'{argument!r} is not of the form FIELD=VALUE', EXIT_USAGE
            )
        try:
            fields[name] = orjson.loads(text)
        except orjson.JSONDecodeError:
            fields[name] = text
    return fields


def set_path(row, name, value):
    """Set a field of a row; a dotted name refers to a nested row.

    Example: ``servers.e1.is_draining``.
    """
    *parents, leaf = name.split('.')
    for parent in parents:
        row = row.setdefault(parent, {})
    row[leaf] = value


def print_table(header, lines):
    """Print rows under a header in aligned columns."""
    lines = [header, *[[str(cell) for cell in line] for line in lines]]
    widths = [max(len(row[i]) for row in lines) for i in range(len(header))]
    for line in lines:
        cells = [c.ljust(w) for c, w in zip(line, widths)]
        print('  '.join(cells).rstrip())


def print_json(data):
    """Print data as indented JSON."""
    print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())


async def do_show(api, arguments):
    """Print all tables, a single table or a single row."""
    data = await api.call('GET', '/v1/tables')
    if arguments:
        data = select(data, arguments)
        print_json(data)
        return
    if FLAGS.json:
        print_json(data)
        return
    print(f'revision {data["revision"]}')
    print_table(
        ['ROUTE', 'POOL', 'KIND', 'DEADLINE_MS', 'ACCOUNTS', 'REVISION'],
        [
            [
                name,
                r['pool'],
                r['kind'],
                r['deadline_ms'],
                len(r['accounts']),
                data['row_revisions'].get(f'routes/{name}', 0),
            ]
            for name, r in sorted(data['routes'].items())
        ],
    )
    print_table(
        ['POOL', 'KIND', 'SERVERS', 'ROUTING', 'PLANNING', 'REVISION'],
        [
            [
                name,
                p['kind'],
                len(p['servers']),
                p['routing'],
                p['planning'],
                data['row_revisions'].get(f'pools/{name}', 0),
            ]
            for name, p in sorted(data['pools'].items())
        ],
    )


def select(data, arguments):
    """Return the table or row at the path ``arguments``."""
    for argument in arguments:
        if argument not in data:
            raise CtlError(
                f'{"/".join(arguments)} does not exist; see "show"', EXIT_USAGE
            )
        data = data[argument]
    return data


async def do_check(api, arguments):
    """Validate a file without applying it.

    A configuration of the users' platform is checked here, tables by the
    daemon.
    """
    data = read_file(arguments[0])
    if not config_command.is_configuration(data):
        await api.call('POST', '/v1/tables/check', data)
        print('valid')
        return
    try:
        report = await config_command.check(orjson.dumps(data), FLAGS.boot)
    except ModuleNotFoundError as exc:
        raise CtlError(
            f'{exc}; run mangorockctl from a copy that has the directory '
            f'{config_command.ADAPTER_DIRECTORY}',
            EXIT_USAGE,
        )
    if FLAGS.json:
        print_json(config_command.to_data(report))
    else:
        print('\n'.join(config_command.to_text(report)))
    if not report.is_valid:
        raise CtlError(f'{arguments[0]}: {len(report.faults)} faults')


async def do_diff(api, arguments):
    """Print the changes that applying a file would make."""
    target = read_file(arguments[0])
    await api.call('POST', '/v1/tables/check', target)
    current = await api.call('GET', '/v1/tables')
    for edit in make_edits(current, target):
        row = f'{edit["table"]}/{edit["name"]}'
        old = current[edit['table']].get(edit['name'])
        if old is None or edit['row'] is None:
            print(f'{"+" if old is None else "-"} {row}')
            continue
        print(f'~ {row}')
        before, after = tables.flatten(old), tables.flatten(edit['row'])
        for path in sorted(set(before) | set(after)):
            if before.get(path) != after.get(path):
                print(f'    {path}: {before.get(path)} -> {after.get(path)}')


async def do_apply(api, arguments):
    """Apply the tables in a file as a single change."""
    target = read_file(arguments[0])
    await api.call('POST', '/v1/tables/check', target)
    current = await api.call('GET', '/v1/tables')
    edits = make_edits(current, target)
    if not edits:
        print(f'revision {current["revision"]}, nothing to change')
        return
    await send_change(api, edits)


async def do_set(api, arguments):
    """Set fields of a row; the row is created if it does not exist."""
    table, name, *fields = arguments
    current = await api.call('GET', '/v1/tables')
    if table not in rows.TABLES:
        raise CtlError(
            f'table {table!r} does not exist; use routes or pools', EXIT_USAGE
        )
    row = current[table].get(name, {'name': name})
    for field, value in parse_fields(fields).items():
        set_path(row, field, value)
    await send_change(api, [make_edit(current, table, name, row)])


async def do_delete(api, arguments):
    """Delete a row."""
    table, name = arguments
    current = await api.call('GET', '/v1/tables')
    await send_change(api, [make_edit(current, table, name, None)])


def make_edit(current, table, name, row):
    """Return an edit of a row.

    It is conditional on the row revision ``--expected`` or, by default, on
    that in ``current``.
    """
    expected = FLAGS.expected
    if expected is None:
        expected = current['row_revisions'].get(f'{table}/{name}', 0)
    return {'table': table, 'name': name, 'row': row, 'expected': expected}


async def send_change(api, edits):
    """Send a change; with ``--wait``, wait until it is in force."""
    change = {
        'change_id': FLAGS.change_id or uuid.uuid4().hex,
        'author': FLAGS.author,
        'edits': edits,
    }
    reply = await api.call('POST', '/v1/changes', change)
    print(f'revision {reply["revision"]}, change {reply["change_id"]}')
    if FLAGS.wait:
        await do_wait(api, [str(reply['revision'])])


async def do_wait(api, arguments):
    """Wait until a revision is in force on every live daemon."""
    target = int(arguments[0])
    deadline_s = time.monotonic() + FLAGS.timeout_s
    while True:
        revisions = await api.call('GET', '/v1/revisions')
        outdated = sorted(
            vm for vm, revision in revisions.items() if revision < target
        )
        if not outdated:
            print(f'revision {target} is in force on {len(revisions)} daemons')
            return
        if time.monotonic() > deadline_s:
            raise CtlError(
                f'revision {target} is not in force on: '
                f'{", ".join(outdated)}; check these daemons',
                EXIT_NOT_IN_FORCE,
            )
        # Each poll queries all daemons, so the interval grows with their
        # number beyond 20.
        await curio.sleep(POLL_INTERVAL_S * max(1.0, len(revisions) / 20))


async def do_status(api, arguments):
    """Print the status of the daemon and of the members it knows."""
    data = await api.call('GET', '/v1/status')
    if FLAGS.json:
        print_json(data)
        return
    print(
        f'{data["vm"]} in {data["failure_domain"]}, revision '
        f'{data["revision"]}, {data["in_flight"]} in flight'
    )
    for name in ('members', 'servers', 'duties'):
        lines = data[name]
        if lines:
            header = list(lines[0])
            print_table(
                [h.upper() for h in header],
                [[line[h] for h in header] for line in lines],
            )


async def do_history(api, arguments):
    """Print the log of accepted changes."""
    data = await api.call('GET', '/v1/tables')
    print_table(
        ['REVISION', 'CHANGE', 'AUTHOR', 'ROWS'],
        [
            [c['revision'], c['id'], c['author'], ' '.join(c['rows'])]
            for c in data['changes']
        ],
    )


# Maps a command to (function, min. and max. number of arguments).
COMMANDS = {
    'show': (do_show, 0, 2),
    'check': (do_check, 1, 1),
    'diff': (do_diff, 1, 1),
    'apply': (do_apply, 1, 1),
    'set': (do_set, 3, 100),
    'delete': (do_delete, 2, 2),
    'wait': (do_wait, 1, 1),
    'status': (do_status, 0, 0),
    'history': (do_history, 0, 0),
}


def main(argv):
    """Run a command and return the exit status."""
    name, arguments = (argv[1], argv[2:]) if len(argv) > 1 else ('', [])
    function, min_arguments, max_arguments = COMMANDS.get(name, (None, 0, 0))
    if (
        function is None
        or not min_arguments <= len(arguments) <= max_arguments
    ):
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    try:
        curio.run(function, AdminApi(FLAGS.address, FLAGS.token), arguments)
    except CtlError as exc:
        print(f'mangorockctl: {exc}', file=sys.stderr)
        return exc.status
    return EXIT_OK


def run():
    """Entry point of the command ``mangorockctl``."""
    define_flags()
    app.run(main)


if __name__ == '__main__':
    run()
