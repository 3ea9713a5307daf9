"""Command-line flags and environment variables, validated at startup.

The environment variable of a flag is ``MANGOROCK_`` followed by the flag's
name in capitals; a flag on the command line takes precedence.  `load` reports
all problems at once, each with the flag, its value and how to correct it.
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
    """Configuration of a daemon; each field is a flag."""

    vm: str = _setting(
        '', 'name of the VM that runs this daemon', is_required=True
    )
    failure_domain: str = _setting(
        '', 'failure domain of the VM', is_required=True
    )
    region: str = _setting('', 'region of the VM')
    caller_address: str = _setting(
        '127.0.0.1:8080', 'IP:port to listen on for callers', is_address=True
    )
    admin_address: str = _setting(
        '127.0.0.1:8081',
        'IP:port to listen on for the administration API',
        is_address=True,
    )
    peer_address: str = _setting(
        '127.0.0.1:8082',
        'IP:port to listen on for other daemons',
        is_address=True,
    )
    platform_address: str = _setting(
        '', 'IP:port of the platform', is_address=True, is_required=True
    )
    platform_token: str = _setting(
        '', 'token for authentication to the platform', is_secret=True
    )
    peers: str = _setting(
        '',
        'comma-separated IP:port of daemons to contact at startup',
        is_address_list=True,
    )
    peer_key: str = _setting(
        '',
        f'key shared by all daemons, at least {MIN_KEY_CHARS} characters',
        is_required=True,
        is_secret=True,
        is_key=True,
    )
    operator_token: str = _setting(
        '',
        f'token required from operators, at least {MIN_KEY_CHARS} characters',
        is_secret=True,
        is_key=True,
    )
    statsd_address: str = _setting(
        '',
        'IP:port of the statsd server; empty to disable statsd',
        is_address=True,
    )
    report_interval_s: float = _setting(
        0.5,
        'seconds between requests for the load report of an engine',
        low=0.05,
        high=60.0,
    )
    probe_interval_s: float = _setting(
        1.0, 'seconds between probes of other daemons', low=0.05, high=60.0
    )
    lease_s: float = _setting(
        10.0,
        "lifetime in seconds of the lease of the failure domain's owner",
        low=1.0,
        high=600.0,
    )
    plan_interval_s: float = _setting(
        2.0, 'seconds between planning decisions', low=0.1, high=600.0
    )
    stop_timeout_s: float = _setting(
        600.0,
        'maximum duration of a graceful shutdown in seconds',
        low=1.0,
        high=86400.0,
    )
    max_body_bytes: int = _setting(
        16_000_000,
        'maximum size of a request body in bytes',
        low=1024,
        high=1_000_000_000,
    )


def define_flags():
    """Define an absl flag for each setting, and ``--check``."""
    for field in attrs.fields(Settings):
        define_flag = {
            str: flags.DEFINE_string,
            float: flags.DEFINE_float,
            int: flags.DEFINE_integer,
        }[field.type]
        define_flag(field.name, None, field.metadata['help'])
    flags.DEFINE_boolean('check', False, 'check the settings and exit')


def load(environ=os.environ, values=None):
    """Return validated `Settings`, or raise `errors.SettingsError`.

    ``values`` maps flag names to values; the default is the parsed absl
    flags.

    Example::

        >>> load({}, {'vm': 'a'})
        SettingsError: --failure_domain is required; set it or ...
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
            f'{name}={text!r} is not a valid {field.type.__name__}; correct it'
        )
        return None


def _check(field, value, problems):
    rules, flag = field.metadata, f'--{field.name}'
    shown = 'the value' if rules.get('is_secret') else repr(value)
    if rules.get('is_required') and not value:
        problems.append(
            f'{flag} is required; set it or {ENV_PREFIX}{field.name.upper()}'
        )
        return
    if rules.get('is_address') and value and not rows.is_address(value):
        problems.append(f'{flag}: {shown} is not of the form IP:port')
    if rules.get('is_address_list'):
        for part in filter(None, value.split(',')):
            if not rows.is_address(part):
                problems.append(f'{flag}: {part!r} is not of the form IP:port')
    if rules.get('is_key') and value and len(value) < MIN_KEY_CHARS:
        problems.append(
            f'{flag}: {shown} is too short; '
            f'use at least {MIN_KEY_CHARS} characters'
        )
    if 'low' in rules and not rules['low'] <= value <= rules['high']:
        problems.append(
            f'{flag}: {shown} is outside {rules["low"]} to {rules["high"]}; '
            'choose a value in this range'
        )


def _check_admin_address(resolved, problems):
    host = resolved['admin_address'].rpartition(':')[0]
    if not host.startswith('127.') and not resolved['operator_token']:
        problems.append(
            f'--admin_address: {host} is not a loopback address and '
            '--operator_token is not set; set the token'
        )
