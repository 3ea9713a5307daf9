"""Structured logs: one line of key=value pairs for each event.

Example::

    logs.event('request_done', request='r1', status=200)
    # event=request_done request=r1 status=200
"""

import re

from absl import logging

_PLAIN = re.compile(r'[A-Za-z0-9_.:/@+-]+')


def render(name, fields):
    """Return the line for an event; values are quoted where needed."""
    pairs = [f'event={name}']
    for key, value in fields.items():
        pairs.append(f'{key}={_quote(value)}')
    return ' '.join(pairs)


def _quote(value):
    if isinstance(value, float):
        value = f'{value:.6g}'
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'


def event(name, **fields):
    """Log an ordinary event."""
    logging.info('%s', render(name, fields))


def warning(name, **fields):
    """Log an event that an operator may want to look at."""
    logging.warning('%s', render(name, fields))
