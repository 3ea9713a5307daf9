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

ENV_PREFIX = 'MANGOROCK_'
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


def define_flags():
    """Define one absl flag for each setting, and ``--check``."""
    for field in attrs.fields(Settings):
        define_flag = {
            str: flags.DEFINE_string,
            float: flags.DEFINE_float,
            int: flags.DEFINE_integer,
        }[field.type]
        define_flag(field.name, None, field.metadata['help'])
    flags.DEFINE_boolean('check', False, 'check the settings and end')


def load(environ=os.environ, values=None):
    """Return checked `Settings`, or raise `errors.SettingsError`.

    ``values`` maps flag names to values and defaults to absl's flags.

    Example::

        >>> load({}, {'vm': 'a'})
        SettingsError: --failure_domain is missing; set it or ...
    """
    problems, resolved = [], {}
    for field in attrs.fields(Settings):
        value = (
            FLAGS[field.name].value
            if values is None
            else values.get(field.name)
        )
        text = environ.get(ENV_PREFIX + field.name.upper())
        if value is None and text is not None:
            value = _convert(field, text, problems)
        if value is None:
            value = field.default
        resolved[field.name] = value
        _check(field, value, problems)
    if not problems:
        _check_admin_address(resolved, problems)
    if problems:
        raise errors.SettingsError('; '.join(problems))
    return Settings(**resolved)


def _convert(field, text, problems):
    try:
        return field.type(text)
    except ValueError:
        name = ENV_PREFIX + field.name.upper()
        problems.append(
            f'{name}={text!r} is no {field.type.__name__}; mend it'
        )
        return None


def _check(field, value, problems):
    rules, flag = field.metadata, f'--{field.name}'
    shown = 'the value' if rules.get('is_secret') else repr(value)
    if rules.get('is_required') and not value:
        problems.append(
            f'{flag} is missing; set it or {ENV_PREFIX}{field.name.upper()}'
        )
        return
    if rules.get('is_address') and value and not rows.is_address(value):
        problems.append(f'{flag}: {shown} is not IP:port; write it so')
    if rules.get('is_address_list'):
        for part in filter(None, value.split(',')):
            if not rows.is_address(part):
                problems.append(f'{flag}: {part!r} is not IP:port')
    if rules.get('is_key') and value and len(value) < MIN_KEY_CHARS:
        problems.append(
            f'{flag}: {shown} is short; use {MIN_KEY_CHARS} characters or more'
        )
    if 'low' in rules and not rules['low'] <= value <= rules['high']:
        problems.append(
            f'{flag}: {shown} is outside {rules["low"]} to {rules["high"]}; '
            'choose one inside'
        )


def _check_admin_address(resolved, problems):
    host = resolved['admin_address'].rpartition(':')[0]
    if not host.startswith('127.') and not resolved['operator_token']:
        problems.append(
            f'--admin_address: {host} is not loopback and there is no '
            '--operator_token; set the token'
        )
