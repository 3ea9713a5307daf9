"""A request router for a fixed set of model engines and other servers.

The daemon ``mangorock`` routes requests from callers to backend servers.  The
tool ``mangorockctl`` edits the tables of routes and pools that configure it.
"""

import importlib

__all__ = ['Edit', 'MangorockError', 'Tables']
__version__ = '0.1.0'

_EXPORTS = {
    'Edit': 'mangorock.tables',
    'MangorockError': 'mangorock.errors',
    'Tables': 'mangorock.tables',
}


def __getattr__(name):
    """Import an exported name on first use.

    ``mangorock.signals`` is imported first in a process, and must not wait
    for the other modules.
    """
    if name not in _EXPORTS:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(importlib.import_module(_EXPORTS[name]), name)
