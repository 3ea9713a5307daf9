"""The ``mangorock`` daemon, which runs on every entry VM.

It listens on separate addresses for callers, operators and other daemons.
On SIGTERM or SIGINT it completes the requests in flight before it exits.
"""

import sys
import time

from absl import app
from absl import flags
from absl import logging
import curio

from mangorock import admin
from mangorock import calls
from mangorock import completions
from mangorock import duties
from mangorock import environment
from mangorock import errors
from mangorock import forward
from mangorock import gossip
from mangorock import http
from mangorock import logs
from mangorock import reports
from mangorock import services
from mangorock import settings as settings_module
from mangorock import signals
from mangorock import streams
from mangorock import wakeup
from mangorock import watcher

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INCOMPLETE = 3


async def handle_request(env, request, responder):
    """Process a caller's request and record its outcome."""
    started_s = time.monotonic()
    env.in_flight += 1
    outcome = 'whole'
    try:
        env.check_ready()
        is_from_peer = forward.is_from_peer(env, request.headers)
        call = calls.parse_request(request, is_from_peer)
        match call:
            case calls.Completion():
                await completions.serve(env, call, request, responder)
            case calls.ServiceCall():
                await services.serve(env, call, request, responder)
    except errors.MangorockError as exc:
        outcome = exc.reason.value
        env.metrics.count_refusal(exc.reason)
        await send_refusal(env, responder, exc)
    except streams.CallerGone:
        outcome = 'caller_gone'
        env.metrics.add('caller_gone')
    except Exception as exc:
        if isinstance(exc, OSError) and responder.is_broken:
            # The caller's connection failed while the response was sent.
            outcome = 'caller_gone'
            env.metrics.add('caller_gone')
            return
        outcome = 'internal'
        logs.warning('request_failed', path=request.path, error=repr(exc))
        error = errors.Internal(
            'internal error in the daemon; check whether the request took '
            'effect before retrying it, and report this to the operator'
        )
        env.metrics.count_refusal(error.reason)
        await send_refusal(env, responder, error)
    finally:
        env.in_flight -= 1
        seconds = time.monotonic() - started_s
        env.metrics.timing('request', seconds)
        logs.event(
            'request_done', path=request.path, end=outcome, seconds=seconds
        )


async def send_refusal(env, responder, error):
    """Send an error response.

    Its `calls.REFUSED_HEADER` tells a forwarding daemon whether the request
    was executed.
    """
    headers = [(calls.REFUSED_HEADER, error.run.value)]
    if env.is_stopping:
        headers.append(('connection', 'close'))
    await http.send_error(responder, error, headers)


class Daemon:
    """Starts, stops and cancels the tasks of a daemon."""

    def __init__(self, env):
        self.env = env
        self.tasks = []

    async def start(self):
        """Bind the addresses, then start all tasks.

        Raises `errors.SettingsError` if an address cannot be bound.
        """
        env, settings = self.env, self.env.settings
        caller_socket = bind('caller_address', settings.caller_address)
        admin_socket = bind('admin_address', settings.admin_address)
        env.peers.start()
        await self._spawn(
            http.serve,
            caller_socket,
            self._on_caller_request,
            self._max_body_bytes(),
        )
        await self._spawn(
            http.serve,
            admin_socket,
            self._on_admin_request,
            self._max_body_bytes(),
        )
        for task in (
            gossip.serve_calls,
            watcher.watch_vms,
            watcher.watch_tables,
            gossip.run_probes,
            reports.poll_forever,
            streams.abort_silent_streams,
            duties.run_forever,
        ):
            await self._spawn(task, env)
        await self._spawn(gossip.join, env)
        logs.event(
            'started', vm=settings.vm, failure_domain=settings.failure_domain
        )

    def _max_body_bytes(self):
        return self.env.settings.max_body_bytes

    async def _spawn(self, function, *args):
        self.tasks.append(await curio.spawn(function, *args))

    async def _on_caller_request(self, request, responder):
        await handle_request(self.env, request, responder)

    async def _on_admin_request(self, request, responder):
        await admin.handle(self.env, request, responder)

    async def stop(self):
        """Refuse new requests and wait for the requests in flight.

        Waits at most ``stop_timeout_s``.  Returns whether all requests were
        completed.
        """
        env = self.env
        env.is_stopping = True
        logs.event('stopping', in_flight=env.in_flight)
        deadline_s = time.monotonic() + env.settings.stop_timeout_s
        while env.in_flight and time.monotonic() < deadline_s:
            await curio.sleep(0.05)
        await duties.release(env)
        await gossip.leave(env)
        return not env.in_flight

    async def close(self):
        """Cancel the tasks in reverse order; it is safe to call this twice."""
        while self.tasks:
            await self.tasks.pop().cancel()
        await self.env.claimer.close()
        await self.env.client.close()
        self.env.peers.close()


def bind(flag, address):
    """Return a socket that listens on the address given by a flag.

    Raises `errors.SettingsError` if the address cannot be bound.
    """
    host, _, port = address.rpartition(':')
    try:
        return http.listen(host, int(port))
    except OSError as exc:
        raise errors.SettingsError(
            f'--{flag}: {address} cannot be bound ({exc.strerror}); check '
            'whether another daemon is running on this VM'
        )


async def serve(settings, received):
    """Run the daemon until SIGTERM or SIGINT; return the exit status.

    ``received`` are the `signals.Signals` of the process.
    """
    env = environment.make_environment(settings)
    daemon = Daemon(env)
    stop = wakeup.make_wakeup()
    received.listen(signals.STOP, stop.set)
    await daemon.start()
    await stop.wait()
    is_clean = await daemon.stop()
    await daemon.close()
    logs.event('stopped', is_clean=is_clean)
    return EXIT_OK if is_clean else EXIT_INCOMPLETE


def main(received):
    """Load the settings and run the daemon; return the exit status."""
    logging.use_absl_handler()
    try:
        settings = settings_module.load()
        if flags.FLAGS.check:
            print('settings are valid')
            return EXIT_OK
        return curio.run(serve, settings, received)
    except errors.SettingsError as exc:
        print(f'mangorock: {exc.message}', file=sys.stderr)
        return EXIT_SETTINGS


def run(received):
    """Run the command ``mangorock`` with its `signals.Signals`."""
    settings_module.define_flags()
    flags.FLAGS.set_default('logtostderr', True)
    logging.set_verbosity(logging.INFO)
    app.run(lambda argv: main(received))
