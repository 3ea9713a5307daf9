"""Unit tests of the parts that need no other process.

These are tables, settings, request parsing, limits, routing, planning and
claims.
"""

import random
import types
import unittest
from unittest import mock

import orjson

from mangorock import calls
from mangorock import claims
from mangorock import ctl
from mangorock import engine
from mangorock import environment
from mangorock import errors
from mangorock import forward
from mangorock import http
from mangorock import identify
from mangorock import limits
from mangorock import logs
from mangorock import metrics
from mangorock import planner
from mangorock import relay
from mangorock import router
from mangorock import rows
from mangorock import services
from mangorock import settings
from mangorock import tables
from mangorock_standins import fleet

CALLER_KEY = 'a-key-of-a-caller'


def make_tables(**route_fields):
    """Return tables with one route and one pool of four servers."""
    row = {
        'name': 'r',
        'pool': 'p',
        'accounts': {'acme': {'key_sha256': fleet.key_digest(CALLER_KEY)}},
        **route_fields,
    }
    data = {
        'revision': 1,
        'routes': {'r': row},
        'pools': {
            'p': {
                'name': 'p',
                'servers': {
                    f'e{i}': {
                        'address': f'10.0.0.{i}:80',
                        'failure_domain': 'a',
                    }
                    for i in range(1, 5)
                },
            }
        },
    }
    return tables.from_data(data)


class TestTables(unittest.TestCase):
    def test_every_error_is_reported_with_its_remedy(self):
        data = {
            'routes': {
                'r': {'name': 'other', 'pool': 'none', 'priority': 77},
                'bad name': {'name': 'bad name', 'pool': 'p'},
            },
            'pools': {
                'p': {
                    'name': 'p',
                    'speed': 1,
                    'servers': {
                        'e': {'address': 'host:80', 'failure_domain': 'a'}
                    },
                }
            },
        }
        with self.assertRaises(errors.InvalidTables) as caught:
            tables.from_data(data)
        message = caught.exception.message
        for words in ('priority', 'bad name', 'speed', 'IP:port', 'write'):
            self.assertIn(words, message)

    def test_route_to_a_missing_pool(self):
        data = {'routes': {'r': {'name': 'r', 'pool': 'none'}}, 'pools': {}}
        with self.assertRaisesRegex(errors.InvalidTables, 'add the pool'):
            tables.from_data(data)

    def test_server_in_two_pools(self):
        server = {'address': '10.0.0.1:80', 'failure_domain': 'a'}
        pools = {n: {'name': n, 'servers': {'e': server}} for n in 'pq'}
        with self.assertRaisesRegex(errors.InvalidTables, 'one pool'):
            tables.from_data({'pools': pools})

    def test_apply_does_not_modify_its_input(self):
        before = make_tables()
        copy = orjson.dumps(before.to_data())
        edit = tables.Edit('pools', 'q', {'name': 'q'}, 0)
        tables.apply(before, [edit], 'c', 'ops')
        self.assertEqual(copy, orjson.dumps(before.to_data()))

    def test_same_change_id_is_applied_once(self):
        edit = tables.Edit('pools', 'q', {'name': 'q'}, 0)
        applied = tables.apply(make_tables(), [edit], 'c', 'ops')
        self.assertIs(applied, tables.apply(applied, [edit], 'c', 'ops'))

    def test_conflict_names_the_other_change(self):
        edit = tables.Edit('pools', 'q', {'name': 'q'}, 0)
        applied = tables.apply(make_tables(), [edit], 'c1', 'amira')
        with self.assertRaisesRegex(errors.Conflict, 'amira.*c1'):
            tables.apply(applied, [edit], 'c2', 'ops')

    def test_delta_gives_the_same_tables(self):
        old = make_tables()
        edits = [
            tables.Edit('pools', 'q', {'name': 'q'}, 0),
            tables.Edit('routes', 'r', None, 0),
        ]
        new = tables.apply(old, edits, 'c', 'ops')
        result = tables.apply_delta(old, tables.make_delta(old, new))
        self.assertEqual(new.routes, result.routes)
        self.assertEqual(new.pools, result.pools)
        self.assertEqual(new.row_revisions, result.row_revisions)

    def test_delta_of_another_base_is_refused(self):
        old = make_tables()
        edit = tables.Edit('pools', 'q', {'name': 'q'}, 0)
        new = tables.apply(old, [edit], 'c', 'ops')
        delta = tables.make_delta(old, new)
        with self.assertRaises(errors.Conflict):
            tables.apply_delta(new, delta)

    def test_value_over_the_platforms_limit(self):
        accounts = {
            f'a{i}': {'key_sha256': f'{i:064x}'} for i in range(10_500)
        }
        row = {'name': 'r', 'pool': 'p', 'accounts': accounts}
        edit = tables.Edit('routes', 'r', row, 0)
        with self.assertRaisesRegex(errors.InvalidTables, '1000000'):
            tables.apply(make_tables(), [edit], 'c', 'ops')


class TestIdentify(unittest.TestCase):
    def authorize(self, route='r', key=CALLER_KEY):
        headers = {'authorization': f'Bearer {key}'} if key else {}
        return identify.authorize(make_tables(), route, headers)

    def test_known_key(self):
        self.assertEqual('acme', self.authorize().account)

    def test_no_key_and_unknown_key(self):
        for key in ('', 'unknown'):
            with self.assertRaises(errors.Unauthenticated) as caught:
                self.authorize(key=key)
            self.assertNotIn(CALLER_KEY, caught.exception.message)

    def test_unknown_route(self):
        with self.assertRaises(errors.NoRoute):
            self.authorize(route='x')


class TestSettings(unittest.TestCase):
    VALID_VALUES = {
        'vm': 'v',
        'failure_domain': 'a',
        'platform_address': '127.0.0.1:1',
        'peer_key': 'k' * 16,
    }

    def test_every_error_is_reported_without_secrets(self):
        values = {'peer_key': 'secret', 'lease_s': 0.0, 'vm': ''}
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load({}, values)
        message = caught.exception.message
        for words in ('--vm', '--peer_key', '--lease_s', '--platform'):
            self.assertIn(words, message)
        self.assertNotIn('secret', message)

    def test_flag_overrides_environment(self):
        environ = {'MANGOROCK_VM': 'env', 'MANGOROCK_REGION': 'oman'}
        loaded = settings.load(environ, self.VALID_VALUES)
        self.assertEqual(('v', 'oman'), (loaded.vm, loaded.region))

    def test_remote_admin_address_requires_a_token(self):
        values = {**self.VALID_VALUES, 'admin_address': '10.0.0.1:1'}
        with self.assertRaisesRegex(errors.SettingsError, 'operator_token'):
            settings.load({}, values)


class TestParseRequest(unittest.TestCase):
    def parse(self, body=b'{}', path='/v1/completions', **headers):
        headers = {k.replace('_', '-'): v for k, v in headers.items()}
        return calls.parse_request(http.Request('POST', path, headers, body))

    def test_bad_input_is_a_typed_error(self):
        bad = [
            b'',
            b'[]',
            b'{"model": 1, "prompt": "x"}',
            b'{"model": "m"}',
            b'{"model": "m", "prompt": "x", "max_tokens": -1}',
            b'{"model": "m", "prompt": "x", "mangorock": {"generated": 1}}',
        ]
        for body in bad:
            with self.assertRaises(errors.BadRequest, msg=body):
                self.parse(body)

    def test_bad_headers(self):
        body = b'{"model": "m", "prompt": "x"}'
        for name, value in (
            ('x_deadline_ms', '-4'),
            ('x_deadline_ms', '99999999999'),
            ('x_request_id', 'x' * 200),
        ):
            with self.assertRaises(errors.BadRequest):
                self.parse(body, **{name: value})

    def test_only_a_daemon_sets_the_internal_id(self):
        body = b'{"model": "m", "prompt": "x"}'
        headers = {calls.PEER_REQUEST_HEADER: 'stolen'}
        request = http.Request('POST', '/v1/completions', headers, body)
        self.assertNotEqual('stolen', calls.parse_request(request).internal_id)
        self.assertEqual(
            'stolen', calls.parse_request(request, True).internal_id
        )

    def test_unknown_path(self):
        with self.assertRaises(errors.NotFound):
            self.parse(path='/v2')


class TestStreamValidator(unittest.TestCase):
    def event(self, index, request_id='r', **fields):
        data = {
            'id': request_id,
            'n': index,
            'choices': [{'delta': {'content': 'x'}, 'finish_reason': 's'}],
            **fields,
        }
        return b'data: ' + orjson.dumps(data) + b'\n\n'

    def test_any_split_gives_the_same_stream(self):
        usage = {'completion_tokens': 2}
        stream = self.event(0) + self.event(1)
        stream += self.event(2, usage=usage) + b'data: [DONE]\n\n'
        for split_at in range(1, len(stream)):
            validator = relay.StreamValidator('r')
            result = validator.feed(stream[:split_at]) + validator.feed(
                stream[split_at:]
            )
            self.assertEqual(stream, result)
            self.assertTrue(validator.is_complete)

    def test_invalid_events_are_rejected(self):
        final_event = self.event(1, usage={'completion_tokens': 1})
        for data in (
            self.event(1),
            self.event(0, 'other'),
            final_event,
            b'data: [DONE]\n\n',
            b'data: {"id"}\n\n',
            b'data: []\n\n',
        ):
            with self.assertRaises(relay.InvalidStream, msg=data):
                relay.StreamValidator('r').feed(data)

    def test_repeated_token_after_a_resume_is_dropped(self):
        validator = relay.StreamValidator('r', 1)
        self.assertEqual(b'', validator.feed(self.event(0)))
        self.assertEqual(self.event(1), validator.feed(self.event(1)))


class TestLimits(unittest.TestCase):
    def admit(self, limiter, account='acme', total_s=1.0, wait_s=0.0):
        current = make_tables()
        identity = identify.Identity(current.routes['r'], account, 1)
        estimate = router.Estimate(total_s, wait_s)
        limiter.admit(identity, current.pools['p'], estimate, 2.0, 0.5)
        return identity

    def test_unreachable_deadline_is_refused_as_not_run(self):
        with self.assertRaises(errors.DeadlineExceeded) as caught:
            self.admit(limits.Limiter(), total_s=3.0)
        self.assertEqual(errors.Run.NOT_RUN, caught.exception.run)
        self.assertGreater(caught.exception.retry_after_s, 0)

    def test_account_over_its_share_is_refused_in_a_busy_pool(self):
        limiter = limits.Limiter()
        for _ in range(10):
            self.admit(limiter, 'greedy')
        self.admit(limiter, 'modest', wait_s=1.0)
        with self.assertRaises(errors.AccountLimit):
            self.admit(limiter, 'greedy', wait_s=1.0)
        self.admit(limiter, 'greedy', wait_s=0.0)

    def test_retries_stay_within_their_budget(self):
        budget = limits.RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * 0.1 + limits.RETRY_BURST)

    def test_retries_at_one_pool_are_not_paid_for_by_another(self):
        env = environment.make_environment(mock.MagicMock(statsd_address=''))
        env.tables_history.current = types.SimpleNamespace(
            pools={'busy': 1, 'failing': 2}
        )
        found = {}
        for pool in ('busy', 'failing'):
            identity = mock.MagicMock()
            identity.route = types.SimpleNamespace(
                kind='service', pool=pool, deadline_ms=1, is_repeatable=True
            )
            with (
                mock.patch.object(
                    forward, 'identify_caller', return_value=identity
                ),
                mock.patch.object(forward, 'is_from_peer'),
            ):
                found[pool] = services.make_context(
                    env, mock.MagicMock(deadline_ms=1), mock.MagicMock()
                ).attempts.budget
        while found['busy'].spend():
            pass
        for _ in range(100):
            found['busy'].earn()
        self.assertEqual(limits.RETRY_BURST, found['failing'].balance)


class TestRouter(unittest.TestCase):
    def make_router(self):
        pool_router = router.Router('a', random.Random(1))
        pool_router.update_tables(make_tables())
        return pool_router

    def test_draining_and_leaving_servers_get_no_requests(self):
        pool_router = self.make_router()
        views = list(pool_router.views.values())
        pool_router.drain(views[0].address, (5, 1))
        views[1].is_leaving = True
        views[2].is_draining = True
        demand = router.Demand('r', 10, 10)
        for policy in rows.ROUTING_POLICIES:
            choice = pool_router.choose('p', policy, demand, 0.0)
            self.assertIs(views[3], choice.view)

    def test_late_drain_after_its_undrain_has_no_effect(self):
        pool_router = self.make_router()
        self.assertEqual(0, pool_router.drain('10.0.0.1:80', (5, 1)))
        self.assertTrue(pool_router.undrain('10.0.0.1:80', (5, 1)))
        self.assertIsNone(pool_router.drain('10.0.0.1:80', (5, 1)))
        self.assertEqual({}, pool_router.drain_versions)
        self.assertEqual(0, pool_router.drain('10.0.0.1:80', (5, 2)))
        self.assertFalse(pool_router.undrain('10.0.0.1:80', (5, 1)))

    def test_gap_in_cache_events_clears_known_pieces(self):
        pool_router = self.make_router()
        key = ('p', 'e1')
        report = engine.Report('mixed', False, False, 0, 0, 0, 2, 0, 0, ('k',))
        pool_router.on_report(key, report, 1.0)
        self.assertIn('k', pool_router.views[key].pieces)
        gap = engine.Report('mixed', False, False, 0, 0, 0, 9, has_gap=True)
        pool_router.on_report(key, gap, 2.0)
        self.assertEqual(0, len(pool_router.views[key].pieces))

    def test_no_thundering_herd_on_stale_reports(self):
        picked = set()
        for seed in range(20):
            pool_router = router.Router('a', random.Random(seed))
            pool_router.update_tables(make_tables())
            demand = router.Demand('r', 100, 10)
            choice = pool_router.choose('p', 'finish_time', demand, 0.0)
            picked.add(choice.view.name)
        self.assertGreater(len(picked), 2)


class TestPlanner(unittest.TestCase):
    def simulate_planner(
        self, role_change_price_s, prefill_tps, decode_tps, seconds=120
    ):
        pool_planner = planner.Planner(role_change_price_s)
        roles = ['mixed'] * 3
        token_counts = [[0, 0] for _ in roles]
        changes = []
        for now in range(0, seconds, 2):
            for i in range(3):
                token_counts[i][0] += int(prefill_tps * 2 / 3)
                token_counts[i][1] += int(decode_tps * 2 / 3)
            loads = [
                planner.EngineLoad(
                    f'10.0.0.{i}:1',
                    roles[i],
                    10_000.0,
                    0.02,
                    *token_counts[i],
                    0,
                )
                for i in range(3)
            ]
            change = pool_planner.decide(loads, float(now))
            if change is not None:
                roles[int(change[0][7])] = change[1]
                changes.append(change)
        return roles, changes

    def test_no_role_change_under_light_steady_load(self):
        self.assertEqual([], self.simulate_planner(10.0, 1000, 500)[1])

    def test_heavy_prefill_splits_the_pool(self):
        roles, changes = self.simulate_planner(1.0, 18_000, 500)
        self.assertIn('prefill', roles)
        self.assertIn('decode', roles)
        self.assertLessEqual(len(changes), 3)

    def test_high_price_prevents_role_changes(self):
        self.assertEqual([], self.simulate_planner(60.0, 18_000, 500)[1])

    def test_only_mixed_engine_keeps_its_role(self):
        loads = [planner.EngineLoad('a', 'mixed', 1e4, 0.02, 0, 0, 0)]
        pool_planner = planner.Planner()
        pool_planner.target = {'a': 'prefill'}
        pool_planner.planned_at_s = 0.0
        self.assertIsNone(pool_planner.decide(loads, 1.0))


class TestClaims(unittest.TestCase):
    def test_full_slots_continue_in_new_ones_and_are_read_back(self):
        store, version = {}, 0
        for batch in range(3):
            shard = claims.Shard()
            for i in range(100):
                key = claims.claim_key('a', 'r', f'{batch}-{i}')
                entry = claims.Entry(key, key, claims.Kind.CLAIMED, 1.0)
                pending = shard.handle(claims.Submit(i, entry), 1.0)
                while pending:
                    action = pending.pop(0)
                    if isinstance(action, claims.Load):
                        event = claims.Loaded(dict(store))
                    elif isinstance(action, claims.Write):
                        version += 1
                        store[action.slot] = (action.text, version)
                        event = claims.Written(version)
                    else:
                        self.assertIs(claims.Outcome.ACCEPTED, action.outcome)
                        continue
                    pending += shard.handle(event, 1.0)
        self.assertEqual(300, len(shard.latest))
        self.assertEqual(5, len(store))

    def test_claim_written_after_its_refusal_is_released(self):
        shard = claims.Shard()
        entry = claims.Entry('00', 'one', claims.Kind.CLAIMED, 1.0)
        shard.handle(claims.Submit('t', entry), 1.0)
        (write,) = shard.handle(claims.Loaded({}), 1.0)
        shard.handle(claims.WriteUnknown(), 1.0)
        (reply,) = shard.handle(claims.Unavailable(), 1.0)
        self.assertIs(claims.Outcome.UNAVAILABLE, reply.outcome)
        other = claims.Entry('00', 'two', claims.Kind.CLAIMED, 1.0)
        shard.handle(claims.Submit('u', other), 1.0)
        late_write_loaded = claims.Loaded({0: (write.text, 1)})
        (write,) = shard.handle(late_write_loaded, 1.0)
        self.assertIn('released', write.text)
        replies = shard.handle(claims.Written(2), 1.0)
        self.assertIsNone(replies[0].ticket)
        self.assertIsInstance(replies[1], claims.Write)


class TestLogsMetricsCtl(unittest.TestCase):
    def test_log_line_quotes_special_values(self):
        line = logs.render('e', {'a': 'x y', 'b': 1, 'c': 'q"\n'})
        self.assertEqual('event=e a="x y" b=1 c="q\\"\\n"', line)

    def test_every_reason_has_a_counter(self):
        counts = metrics.make_metrics('').counts
        for reason in errors.Reason:
            self.assertEqual(0, counts[f'refused.{reason.value}'])
        for retry in metrics.RetryReason:
            self.assertEqual(0, counts[f'retried.{retry.value}'])

    def test_ctl_edits_only_changed_rows(self):
        current = make_tables().to_data()
        wanted = make_tables(priority=1).to_data()
        edits = ctl.make_edits(current, wanted)
        self.assertEqual(['r'], [e['name'] for e in edits])


if __name__ == '__main__':
    unittest.main()
