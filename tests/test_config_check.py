"""Tests the check of a configuration of the users' platform."""

import contextlib
import copy
import io
import pathlib
import tempfile
import unittest
from unittest import mock

import orjson

from mangorock import config_command
from mangorock import ctl
from tests import fleet
from tests import test_front

KEY = 'rjvz48wuakn2ftimaj3n'


def make_config(**changes):
    """Return a valid configuration with an account."""
    config = fleet.make_config(4, **changes)
    config['routes'][1]['timeoutMs'] = 1600
    config.setdefault('tenants', [{'name': 'huka', 'apiKeys': [KEY]}])
    return config


async def find_faults(config):
    """Return the places of the faults of a configuration."""
    report = await config_command.check(orjson.dumps(config), '')
    return [fault.place for fault in report.faults]


class Faults(unittest.TestCase):
    """Each fault is found at its place, and nothing else is."""

    async def check_change(self, place, path, value):
        """Change one value and check that just this place is at fault."""
        config = copy.deepcopy(make_config())
        *parents, leaf = path
        row = config
        for parent in parents:
            row = row[parent]
        row[leaf] = value
        self.assertEqual([place], await find_faults(config), path)

    @test_front.run
    async def test_valid_configuration_has_no_fault(self):
        self.assertEqual([], await find_faults(make_config()))
        self.assertEqual([], await find_faults(fleet.make_config(2)))

    @test_front.run
    async def test_each_fault_is_found_at_its_place(self):
        for place, path, value in (
            ('the file', ('version',), 'x'),
            ('routes/look', ('routes', 0, 'targetLatencyMs'), 1501),
            ('routes/look', ('routes', 0, 'timeoutMs'), -1),
            ('routes/look', ('routes', 0, 'prefix'), '/look'),
            ('routes/look', ('routes', 0, 'prefix'), '/place/'),
            ('routes/look', ('routes', 0, 'service'), 'none'),
            ('routes/look', ('routes', 0, 'maxAttempts'), 0),
            ('routes/look', ('routes', 0, 'priority'), 12),
            ('routes/look', ('routes', 0, 'resumable'), True),
            ('routes/place', ('routes', 1, 'maxAttempts'), 2),
            ('routes/3', ('routes', 3, 'kind'), 'other'),
            ('services/llm', ('services', 1, 'maxConnections'), 4),
            ('limits/max_body_bytes', ('limits', 'maxBodyBytes'), 0),
            ('accounts/huka', ('tenants', 0, 'apiKeys'), []),
            ('accounts/huka', ('tenants', 0, 'priority'), -1),
            ('tenants/0', ('tenants', 0, 'name'), ''),
        ):
            await self.check_change(place, path, value)

    @test_front.run
    async def test_names_that_are_listed_twice_are_found(self):
        config = make_config()
        config['routes'][0]['name'] = 'place'
        config['tenants'].append({'name': 'huka', 'apiKeys': ['k2']})
        self.assertEqual(
            ['routes/place'] * 2 + ['accounts/huka'] * 2,
            await find_faults(config),
        )

    @test_front.run
    async def test_entries_without_use_are_found(self):
        config = make_config()
        config['services'].append({'name': 'spare'})
        config['services'].append({'name': 'desk'})
        for route in config['routes']:
            route['public'] = True
        self.assertEqual(
            ['services/desk', 'services/spare', 'accounts'],
            await find_faults(config),
        )

    @test_front.run
    async def test_contradictory_scaling_is_found(self):
        config = make_config()
        config['services'][0]['scaling'] = {
            'min': 5,
            'max': 2,
            'bootS': 1.0,
            'spotPrice': 0.2,
            'zonePrices': {},
        }
        self.assertEqual(['services/desk'] * 2, await find_faults(config))


class Command(unittest.TestCase):
    """``mangorockctl check`` with a file, a store and exit statuses."""

    def check(self, content, **values):
        """Run the command; return its status and output."""
        output = io.StringIO()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'config.json')
            path.write_bytes(content)
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(io.StringIO()),
                mock.patch.multiple(ctl, FLAGS=mock.Mock(**values)),
            ):
                status = ctl.main(['mangorockctl', 'check', str(path)])
        return status, output.getvalue()

    def test_exit_status_tells_faults_from_unreadable_files(self):
        values = {'boot': '', 'json': False, 'address': 'x', 'token': ''}
        faulty = make_config()
        faulty['routes'][0]['service'] = 'none'
        for content, expected in (
            (orjson.dumps(make_config()), 0),
            (orjson.dumps(faulty), 1),
            (b'{"version"', 2),
            (b'[]', 2),
        ):
            status, _ = self.check(content, **values)
            self.assertEqual(expected, status)

    def test_json_has_faults_with_place_and_remedy(self):
        faulty = make_config()
        faulty['routes'][0]['service'] = 'none'
        values = {'boot': '', 'json': True, 'address': 'x', 'token': ''}
        _, output = self.check(orjson.dumps(faulty), **values)
        data = orjson.loads(output)
        self.assertFalse(data['valid'])
        self.assertEqual(
            {'place', 'problem', 'remedy'}, set(data['faults'][0])
        )

    @test_front.run
    async def test_differences_from_the_store_are_told_without_keys(self):
        async with fleet.Fleet(config=make_config()) as cluster:
            settings = {
                'nodeName': 'vm-1',
                'zone': 'a',
                'ip': '127.0.0.1',
                'listen': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
                'platform': {'address': cluster.settings.store_address},
                'bounds': {'graceS': 8},
            }
            newer = make_config()
            newer['routes'][0]['timeoutMs'] = 1700
            newer['tenants'][0]['apiKeys'] = ['another-key']
            with tempfile.TemporaryDirectory() as directory:
                path = pathlib.Path(directory, 'boot.json')
                path.write_bytes(orjson.dumps(settings))
                same = await config_command.check(
                    orjson.dumps(newer), str(path)
                )
                newer['version'] = 5
                report = await config_command.check(
                    orjson.dumps(newer), str(path)
                )
        self.assertEqual(['version'], [f.place for f in same.faults])
        self.assertEqual((True, 4), (report.is_valid, report.version_in_force))
        text = '\n'.join(config_command.to_text(report))
        self.assertIn('~ routes/look timeout_s: 1.5 -> 1.7', text)
        self.assertIn('~ accounts/huka keys: 1 added, 1 removed', text)
        for secret in (KEY, 'another-key'):
            self.assertNotIn(secret, text + repr(report))


if __name__ == '__main__':
    unittest.main()
