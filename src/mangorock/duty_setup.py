"""Connects the parts of the duties that the settings ask for."""

from mangorock import bounds
from mangorock import demand
from mangorock import duty_calls
from mangorock import duty_loop
from mangorock import leadership
from mangorock import server_orders
from mangorock import usage_reports


def make_duty_loop(settings, gateway, store, wire):
    """Return the `duty_loop.DutyLoop` of a VM, to be spawned.

    ``settings`` are `bounds.FrontSettings` with ``duties``, ``gateway`` is
    the `gateway.Gateway` and ``wire`` encodes the calls to the platform's
    API.
    """
    duties, endpoint = settings.duties, gateway.scheduler_endpoint
    holder = leadership.make_lease_holder(
        settings.vm,
        duty_loop.KEY,
        bounds.ORDER_LEASE_FACTOR * settings.order_spacing_s,
        store,
        events=leadership.Events('duty_won', 'duty_lost', 'duty_over'),
    )
    totals = demand.DemandTotals()
    loop = duty_loop.DutyLoop(endpoint, holder, gateway.demand, totals)
    api = duty_calls.PlatformApi(
        duties.address, settings.vm, gateway.client, wire
    )
    if duties.orders_servers:
        loop.jobs.append(server_orders.ServerOrders(gateway, api, totals))
    if duties.reports_usage:
        reports = usage_reports.make_reports(
            settings.vm, duties, endpoint, store, api, gateway.metrics
        )
        loop.usage = reports.exchange
        gateway.usage = reports.exchange.counter
        loop.jobs.append(reports)
    endpoint.on_duty_message = loop.on_message
    return loop
