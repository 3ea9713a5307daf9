"""Settings: flags and environment variables, all checked at start.

Each flag has an environment variable, ``MANGOROCK_`` and the flag's name in
capitals; a flag on the command line wins.  `load` reports every fault
together, each with the flag, the value and the remedy.
"""

import os

from absl import flags
import attrs

from mangorock import errors
from mangorock import rows

PREFIX = 'MANGOROCK_'
FLAGS = flags.FLAGS
MIN_KEY_CHARS = 16


def _setting(default, help_text, **rules):
    return attrs.field(default=default, metadata={'help': help_text, **rules})


@attrs.frozen
class Settings:
    """Everything a daemon learns from its surroundings."""

    vm: str = _setting('', 'name of this entry VM', is_required=True)
    failure_domain: str = _setting(
        '', 'failure domain of this VM', is_required=True
    )
    region: str = _setting('', 'region of this VM')
    caller_address: str = _setting(
        '127.0.0.1:8080', 'IP:port for callers', is_address=True
    )
    admin_address: str = _setting(
        '127.0.0.1:8081',
        'IP:port of the administration API',
        is_address=True,
    )
    peer_address: str = _setting(
        '127.0.0.1:8082', 'IP:port for other daemons', is_address=True
    )
    platform_address: str = _setting(
        '', 'IP:port of the platform', is_address=True, is_required=True
    )
    platform_token: str = _setting(
        '', 'token for the platform', is_secret=True
    )
    peers: str = _setting(
        '',
        'comma-separated IP:port of daemons to ask at start',
        is_address_list=True,
    )
    peer_key: str = _setting(
        '',
        f'key shared by daemons, {MIN_KEY_CHARS} characters or more',
        is_required=True,
        is_secret=True,
        is_key=True,
    )
    operator_token: str = _setting(
        '',
        f'token of operators, {MIN_KEY_CHARS} characters or more',
        is_secret=True,
        is_key=True,
    )
    statsd_address: str = _setting(
        '', 'IP:port of statsd; empty for none', is_address=True
    )
    report_interval_s: float = _setting(
        0.5,
        'seconds between load reports asked of an engine',
        low=0.05,
        high=60.0,
    )
    probe_interval_s: float = _setting(
        1.0, 'seconds between probes of other daemons', low=0.05, high=60.0
    )
    lease_s: float = _setting(
        10.0, 'seconds of the lease on duties', low=1.0, high=600.0
    )
    plan_interval_s: float = _setting(
        2.0, 'seconds between decisions of a planner', low=0.1, high=600.0
    )
    stop_timeout_s: float = _setting(
        600.0, 'longest graceful shutdown in seconds', low=1.0, high=86400.0
    )
    max_body_bytes: int = _setting(
        16_000_000, 'largest request body', low=1024, high=1_000_000_000
    )


def define():
    """Define one absl flag for each setting, and ``--check``."""
    for field in attrs.fields(Settings):
        make = {
            str: flags.DEFINE_string,
            float: flags.DEFINE_float,
            int: flags.DEFINE_integer,
        }[field.type]
        make(field.name, None, field.metadata['help'])
    flags.DEFINE_boolean('check', False, 'check the settings and end')


def load(environ=os.environ, values=None):
    """Return checked `Settings`, or raise `errors.SettingsError`.

    ``values`` maps flag names to values and defaults to absl's flags.

    Example::

        >>> load({}, {'vm': 'a'})
        SettingsError: --failure_domain is missing; set it or ...
    """
    faults, found = [], {}
    for field in attrs.fields(Settings):
        given = (
            FLAGS[field.name].value
            if values is None
            else values.get(field.name)
        )
        text = environ.get(PREFIX + field.name.upper())
        if given is None and text is not None:
            given = _convert(field, text, faults)
        if given is None:
            given = field.default
        found[field.name] = given
        _check(field, given, faults)
    if not faults:
        _check_admin(found, faults)
    if faults:
        raise errors.SettingsError('; '.join(faults))
    return Settings(**found)


def _convert(field, text, faults):
    try:
        return field.type(text)
    except ValueError:
        name = PREFIX + field.name.upper()
        faults.append(f'{name}={text!r} is no {field.type.__name__}; mend it')
        return None


def _check(field, value, faults):
    rules, flag = field.metadata, f'--{field.name}'
    shown = 'the value' if rules.get('is_secret') else repr(value)
    if rules.get('is_required') and not value:
        faults.append(
            f'{flag} is missing; set it or {PREFIX}{field.name.upper()}'
        )
        return
    if rules.get('is_address') and value and not rows.is_address(value):
        faults.append(f'{flag}: {shown} is not IP:port; write it so')
    if rules.get('is_address_list'):
        for part in filter(None, value.split(',')):
            if not rows.is_address(part):
                faults.append(f'{flag}: {part!r} is not IP:port')
    if rules.get('is_key') and value and len(value) < MIN_KEY_CHARS:
        faults.append(
            f'{flag}: {shown} is short; use {MIN_KEY_CHARS} characters or more'
        )
    if 'low' in rules and not rules['low'] <= value <= rules['high']:
        faults.append(
            f'{flag}: {shown} is outside {rules["low"]} to {rules["high"]}; '
            'choose one inside'
        )


def _check_admin(found, faults):
    host = found['admin_address'].rpartition(':')[0]
    if not host.startswith('127.') and not found['operator_token']:
        faults.append(
            f'--admin_address: {host} is not loopback and there is no '
            '--operator_token; set the token'
        )
