"""A serving system for a fixed fleet of model engines.

The daemon ``mangorock`` stands between callers and backend servers; the
tool ``mangorockctl`` edits the two tables that drive it.
"""

from mangorock.errors import MangorockError
from mangorock.tables import Edit
from mangorock.tables import Tables

__all__ = ['Edit', 'MangorockError', 'Tables']
__version__ = '0.1.0'
