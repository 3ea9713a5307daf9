"""Finds what is wrong in a `catalog.Catalog`, and how two of them differ.

It works on the decoded configuration, so that what an operator checks before
a change is what the daemons will use.  Keys of client accounts are secret and
appear in no text.

Example::

    for fault in check(catalog):
        print(fault.place, fault.problem, fault.remedy)
"""

import collections

import attrs

from mangorock import catalog as catalogs

# The lowest priority that servers are told.
MAX_PRIORITY = 9


@attrs.frozen
class Fault:
    """What is wrong at one place of the configuration, and what to do."""

    place: str
    problem: str
    remedy: str


def check(catalog):
    """Return the `Fault` list of a configuration."""
    return [
        *_check_routes(catalog),
        *_check_services(catalog),
        *_check_accounts(catalog),
        *_check_limits(catalog.limits),
    ]


def check_version(catalog, version_in_force):
    """Return the faults of a version that daemons would not adopt."""
    if catalog.version > version_in_force:
        return []
    return [
        Fault(
            'version',
            f'{catalog.version} is not above {version_in_force}, which is in '
            'force, so that daemons ignore it',
            f'set it to {version_in_force + 1} or higher',
        )
    ]


def _check_routes(catalog):
    names = collections.Counter(route.name for route in catalog.routes)
    for route in catalog.routes:
        place = f'routes/{route.name}'
        if names[route.name] > 1:
            yield Fault(
                place, 'the name is listed twice', 'give each route its own'
            )
        winner = catalog.by_host[route.host][route.prefix]
        if winner is not route:
            yield Fault(
                place,
                f'never matches: {winner.name} has the same host and prefix '
                'and comes later',
                'remove one of the two, or change its host or prefix',
            )
        if not (route.prefix[:1] == route.prefix[-1:] == '/'):
            yield Fault(
                place,
                f'never matches: the prefix {route.prefix!r} does not begin '
                'and end with a slash',
                'add the slashes',
            )
        yield from _check_shares(catalog, place, route.shares)
        yield from _check_terms(place, route)


def _check_shares(catalog, place, shares):
    if any(share.weight < 0 for share in shares) or not any(
        share.weight > 0 for share in shares
    ):
        yield Fault(
            place,
            'the weights of its services are negative or all 0',
            'give at least one service a weight above 0, and none below 0',
        )
    for share in shares:
        if share.service not in catalog.services:
            yield Fault(
                place,
                f'the service {share.service!r} is not configured, so that '
                'its requests are refused',
                'add the service or name another one',
            )


def _check_terms(place, route):
    """Check the times and counts of a route against each other."""
    if route.timeout_s <= 0:
        yield Fault(
            place,
            'the timeout is not above 0',
            'set the time that callers have',
        )
    elif route.target_s > route.timeout_s:
        yield Fault(
            place,
            f'the target latency of {route.target_s:g} s is longer than the '
            f'timeout of {route.timeout_s:g} s',
            'raise the timeout or lower the target',
        )
    if route.target_s <= 0 or route.max_gap_s < 0:
        yield Fault(
            place,
            'the target latency is not above 0, or the target gap is below 0',
            'set the latency that callers expect',
        )
    if route.max_servers < 1:
        yield Fault(
            place,
            f'{route.max_servers} attempts allow no request',
            'allow at least 1',
        )
    is_stream = route.kind is catalogs.Kind.STREAM
    if route.is_resumable and not is_stream:
        yield Fault(
            place,
            'it is resumable but has no streams',
            'change its kind, or remove that it is resumable',
        )
    if route.max_servers > 1 and not route.is_repeatable:
        yield Fault(
            place,
            f'{route.max_servers} attempts are allowed, but its requests may '
            'run only once',
            'allow 1 attempt, or make the route safe or resumable',
        )
    if not 0 <= route.priority <= MAX_PRIORITY:
        yield _priority_fault(place, route.priority)


def _priority_fault(place, priority):
    return Fault(
        place,
        f'the priority is {priority}, not from 0 to {MAX_PRIORITY}',
        'choose one in this range; 0 is the most urgent',
    )


def _check_services(catalog):
    used = {
        share.service
        for route in catalog.routes
        for share in route.shares
        if share.weight > 0
    }
    for name, service in catalog.services.items():
        place = f'services/{name}'
        if name not in used:
            yield Fault(
                place,
                'gets no request: no route sends it a share above 0',
                'remove it or add a route',
            )
        engine = service.engine
        if engine is not None and engine.slots > service.max_connections:
            yield Fault(
                place,
                f'its engines run {engine.slots} requests at once but accept '
                f'only {service.max_connections} connections',
                'raise the connections or lower the slots',
            )
        if engine is not None and engine.handle_ttl_s <= 0:
            yield Fault(
                place,
                'prefilled prompts expire at once',
                'set the time that engines keep them, in seconds',
            )
        if service.scaling is not None:
            yield from _check_scaling(place, service.scaling)


def _check_scaling(place, scaling):
    if scaling.min_servers > scaling.max_servers:
        yield Fault(
            place,
            f'at least {scaling.min_servers} servers and at most '
            f'{scaling.max_servers} are wanted',
            'lower the minimum or raise the maximum',
        )
    prices = scaling.domain_prices.values()
    if not prices or min(prices) < 0 or scaling.spot_price < 0:
        yield Fault(
            place,
            'no failure domain has a price, or a price is below 0',
            'set the price of each failure domain that has servers',
        )
    if scaling.boot_s < 0:
        yield Fault(
            place, 'the boot time is below 0', 'set how long a server starts'
        )


def _check_accounts(catalog):
    accounts = catalog.accounts or ()
    names = collections.Counter(account.name for account in accounts)
    if accounts and all(route.is_public for route in catalog.routes):
        yield Fault(
            'accounts',
            'nobody uses the accounts, as every route is public',
            'remove the accounts, or let a route need a key',
        )
    for account in accounts:
        place = f'accounts/{account.name}'
        if names[account.name] > 1:
            yield Fault(
                place, 'the name is listed twice', 'give each account its own'
            )
        if not account.keys:
            yield Fault(
                place,
                'nobody can use it, as it has no valid key',
                'give it a key of its own or remove it',
            )
        priority = account.priority
        if priority is not None and not 0 <= priority <= MAX_PRIORITY:
            yield _priority_fault(place, priority)


def _check_limits(limits):
    for name, value in attrs.asdict(limits).items():
        if value <= 0:
            yield Fault(
                f'limits/{name}',
                f'{value:g} allows no request',
                'set it above 0, or remove it for the default',
            )


def compare(old, new):
    """Return a line for each difference of two configurations."""
    return [
        *_compare_rows(
            'routes',
            {route.name: route for route in old.routes},
            {route.name: route for route in new.routes},
        ),
        *_compare_rows('services', old.services, new.services),
        *_compare_accounts(old.accounts, new.accounts),
        *_compare_rows('', {'limits': old.limits}, {'limits': new.limits}),
    ]


def _compare_rows(table, old, new):
    lines = []
    for name in sorted(set(old) | set(new)):
        place = f'{table}/{name}' if table else name
        before, after = old.get(name), new.get(name)
        if before is None or after is None:
            lines.append(f'{"+" if before is None else "-"} {place}')
            continue
        for field in attrs.fields(type(after)):
            was, now = getattr(before, field.name), getattr(after, field.name)
            if was != now:
                lines.append(f'~ {place} {field.name}: {was} -> {now}')
    return lines


def _compare_accounts(old, new):
    """Compare accounts; of keys only the number of changes is told."""
    if (old is None) != (new is None):
        need = 'need no' if new is None else 'need a'
        lines = [f'~ accounts: requests {need} key']
    else:
        lines = []
    before = {account.name: account for account in old or ()}
    after = {account.name: account for account in new or ()}
    for name in sorted(set(before) | set(after)):
        place = f'accounts/{name}'
        if name not in before or name not in after:
            lines.append(f'{"-" if name in before else "+"} {place}')
            continue
        was, now = before[name], after[name]
        added = len(set(now.keys) - set(was.keys))
        removed = len(set(was.keys) - set(now.keys))
        if added or removed:
            lines.append(f'~ {place} keys: {added} added, {removed} removed')
        if was.priority != now.priority:
            lines.append(
                f'~ {place} priority: {was.priority} -> {now.priority}'
            )
    return lines
