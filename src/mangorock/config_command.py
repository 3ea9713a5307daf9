"""Checks a file with the configuration of the users' platform.

This is the part of ``mangorockctl check`` that needs no daemon.  It decodes
the file with the platform's adapter, as the daemons do.
"""

import importlib
import pathlib
import sys

import attrs

from mangorock import client as clients
from mangorock import config_check
from mangorock import errors

ADAPTER_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / 'platform'


@attrs.frozen
class Report:
    """The result of a check.

    ``version_in_force`` is None if the file was not compared with it;
    ``not_compared`` then says why.
    """

    faults: list
    differences: list
    version_in_force: int | None = None
    not_compared: str = ''

    @property
    def is_valid(self):
        """Say whether nothing is wrong."""
        return not self.faults


def is_configuration(data):
    """Say whether an object is a configuration of the users' platform.

    Tables have pools instead of services.
    """
    return 'pools' not in data and bool({'services', 'tenants'} & set(data))


def load_adapter(name):
    """Return a module of the platform's adapter."""
    directory = str(ADAPTER_DIRECTORY)
    if directory not in sys.path:
        sys.path.insert(0, directory)
    return importlib.import_module(f'adapter.{name}')


async def check(value, settings_path):
    """Return the `Report` on the configuration in the bytes ``value``.

    It is compared with the version in force if ``settings_path`` names the
    settings file of a VM; the store is read only.
    """
    bodies = load_adapter('bodies')
    catalog, problems = bodies.read_catalog(value)
    faults = [problem.fault for problem in problems]
    if catalog is None:
        return Report(faults, [], None, 'the file cannot be decoded')
    faults += config_check.check(catalog)
    if not settings_path:
        return Report(faults, [], None, 'no settings file is named')
    try:
        in_force = await _read_in_force(bodies, settings_path)
    except errors.MangorockError as exc:
        return Report(faults, [], None, exc.message)
    if in_force is None:
        return Report(faults, [], None, 'the store has no valid version')
    return Report(
        faults + config_check.check_version(catalog, in_force.version),
        config_check.compare(in_force, catalog),
        in_force.version,
    )


async def _read_in_force(bodies, settings_path):
    settings = load_adapter('settings').load(settings_path)
    client = clients.Client()
    store = load_adapter('store').Store(settings.store_address, client)
    try:
        page = await store.list_page(bodies.CONFIG_KEY, '')
    finally:
        await client.close()
    for item in page.items:
        if item.key == bodies.CONFIG_KEY:
            return bodies.read_catalog(item.value)[0]
    return None


def to_data(report):
    """Return a report as JSON data."""
    return {'valid': report.is_valid, **attrs.asdict(report)}


def to_text(report):
    """Return a report as lines for a reader."""
    lines = []
    for fault in report.faults:
        lines.append(f'{fault.place}: {fault.problem}; {fault.remedy}')
    if report.version_in_force is None:
        lines.append(f'not compared with a version: {report.not_compared}')
    else:
        count = len(report.differences)
        lines.append(
            f'{count} differences from version {report.version_in_force}, '
            'the one in the store'
        )
    lines += report.differences
    lines.append('valid' if report.is_valid else 'not valid')
    return lines
