"""Structured logging: each event is a line of key=value pairs.

Example::

    logs.event('request_done', request='r1', status=200)
    # event=request_done request=r1 status=200
"""

import logging as standard_logging
import os
import re
import time
import traceback

from absl import logging

# Size of the buffer for output that the reader has not yet consumed.
MAX_BUFFERED_BYTES = 262144
# Beyond this many lines in a second, only warnings are written.
MAX_LINES_PER_S = 400

_UNQUOTED_VALUE = re.compile(r'[A-Za-z0-9_.:/@+-]+')


def render(name, fields):
    """Format an event as a line; values are quoted if necessary."""
    pairs = [f'event={name}']
    for key, value in fields.items():
        pairs.append(f'{key}={_format_value(value)}')
    return ' '.join(pairs)


def _format_value(value):
    if isinstance(value, float):
        value = f'{value:.6g}'
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'


class BoundedHandler(standard_logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Output that cannot be written immediately is buffered.  Lines are dropped
    while the buffer exceeds `MAX_BUFFERED_BYTES`; lines below warning level
    are also dropped beyond `MAX_LINES_PER_S`.  A ``lines_dropped`` event
    reports how many were dropped.
    """

    def __init__(self, descriptor):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.buffer = b''
        self.dropped_lines = 0
        self.current_second = 0
        self.line_count = 0

    def emit(self, record):
        """Write the line of a record, or drop it."""
        second = int(record.created)
        if second != self.current_second:
            self._start_second(second)
        self.line_count += 1
        is_urgent = record.levelno >= standard_logging.WARNING
        is_over_limit = self.line_count > MAX_LINES_PER_S and not is_urgent
        if is_over_limit or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        stamp = time.strftime('%H:%M:%S', time.gmtime(record.created))
        line = f'{stamp}.{int(record.msecs):03d} {record.getMessage()}\n'
        self._write(line.encode())

    def _start_second(self, second):
        self.current_second, self.line_count = second, 0
        if self.dropped_lines:
            self._write(
                f'event=lines_dropped lines={self.dropped_lines}\n'.encode()
            )
            self.dropped_lines = 0

    def _write(self, data):
        data = self.buffer + data
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the descriptor; discard the output, as
            # there is no other place to report the error.
            written = len(data)
        self.buffer = data[written:]


def to_stdout():
    """Log to standard output through a `BoundedHandler`."""
    logger = logging.get_absl_logger()
    logger.handlers = [BoundedHandler(1)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)


def event(name, **fields):
    """Log an event at level INFO."""
    logging.info('%s', render(name, fields))


def debug(name, **fields):
    """Log an event at level DEBUG, for developers."""
    logging.debug('%s', render(name, fields))


def warning(name, **fields):
    """Log an event at level WARNING, for operators."""
    logging.warning('%s', render(name, fields))


def exception(name, **fields):
    """Log the current exception as a warning with its traceback.

    The traceback is limited to the last four frames.
    """
    trace = traceback.format_exc(limit=-4).replace('\n', ' | ')
    warning(name, trace=trace, **fields)
