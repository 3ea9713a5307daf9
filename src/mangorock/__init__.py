"""A request router for a fixed set of model engines and other servers.

The daemon ``mangorock`` routes requests from callers to backend servers.  The
tool ``mangorockctl`` edits the tables of routes and pools that configure it.
"""

from mangorock.errors import MangorockError
from mangorock.tables import Edit
from mangorock.tables import Tables

__all__ = ['Edit', 'MangorockError', 'Tables']
__version__ = '0.1.0'
