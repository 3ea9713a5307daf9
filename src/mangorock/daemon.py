"""The daemon ``mangorock``: the same on every entry VM.

It serves callers, operators and the other daemons, each on its own
address, and ends on SIGTERM only after the last request was answered.
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
from mangorock import watcher

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CUT = 3


async def handle_caller(env, request, responder):
    """Take a caller's request through the stages."""
    started_s = time.monotonic()
    env.in_flight += 1
    status = 'whole'
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
        status = exc.reason.value
        env.metrics.refused(exc.reason)
        await refuse(env, responder, exc)
    except streams.CallerGone:
        status = 'caller_gone'
        env.metrics.add('caller_gone')
    except OSError:
        # The caller's connection broke while its answer was written.
        status = 'caller_gone'
        env.metrics.add('caller_gone')
    except Exception as exc:
        status = 'internal'
        logs.warning('request_failed', path=request.path, error=repr(exc))
        error = errors.Internal(
            'the daemon failed; look up whether the request took effect '
            'before repeating it, and report this to the operator'
        )
        env.metrics.refused(error.reason)
        await refuse(env, responder, error)
    finally:
        env.in_flight -= 1
        seconds = time.monotonic() - started_s
        env.metrics.timing('request', seconds)
        logs.event(
            'request_done', path=request.path, end=status, seconds=seconds
        )


async def refuse(env, responder, error):
    """Send a refusal; another daemon learns from its head what it is."""
    headers = [(calls.REFUSED_HEADER, error.run.value)]
    if env.is_stopping:
        headers.append(('connection', 'close'))
    await http.send_error(responder, error, headers)


class Daemon:
    """The tasks of one daemon, with explicit `start` and `close`."""

    def __init__(self, env):
        self.env = env
        self.tasks = []

    async def start(self):
        """Bind every address, then start every task.

        Raises `errors.SettingsError` when an address is in use.
        """
        env, chosen = self.env, self.env.settings
        caller = bind('caller_address', chosen.caller_address)
        operator = bind('admin_address', chosen.admin_address)
        env.peers.start()
        await self._spawn(http.serve, caller, self._on_caller, self._limit())
        await self._spawn(
            http.serve, operator, self._on_operator, self._limit()
        )
        for loop in (
            gossip.serve_calls,
            watcher.watch_vms,
            watcher.watch_tables,
            gossip.run_probes,
            reports.poll_forever,
            streams.abort_silent_streams,
            duties.run_forever,
        ):
            await self._spawn(loop, env)
        await self._spawn(gossip.join, env)
        logs.event(
            'started', vm=chosen.vm, failure_domain=chosen.failure_domain
        )

    def _limit(self):
        return self.env.settings.max_body_bytes

    async def _spawn(self, function, *args):
        self.tasks.append(await curio.spawn(function, *args))

    async def _on_caller(self, request, responder):
        await handle_caller(self.env, request, responder)

    async def _on_operator(self, request, responder):
        await admin.handle(self.env, request, responder)

    async def stop(self):
        """Refuse new requests and wait for those in flight.

        Returns whether every request was answered.
        """
        env = self.env
        env.is_stopping = True
        logs.event('stopping', in_flight=env.in_flight)
        end_s = time.monotonic() + env.settings.stop_timeout_s
        while env.in_flight and time.monotonic() < end_s:
            await curio.sleep(0.05)
        await duties.release(env)
        await gossip.leave(env)
        return not env.in_flight

    async def close(self):
        """Cancel the tasks in reverse order; may be called twice."""
        while self.tasks:
            await self.tasks.pop().cancel()
        await self.env.claimer.close()
        await self.env.client.close()
        self.env.peers.close()


def bind(flag, address):
    """Return a listening socket for a setting's address."""
    host, _, port = address.rpartition(':')
    try:
        return http.listen(host, int(port))
    except OSError as exc:
        raise errors.SettingsError(
            f'--{flag}: {address} cannot be bound ({exc.strerror}); is '
            'another daemon running on this VM?'
        )


async def serve(settings):
    """Run until SIGTERM or SIGINT; return the exit status."""
    env = environment.make_environment(settings)
    daemon = Daemon(env)
    stop = signals.make_stop_event()
    await daemon.start()
    await stop.wait()
    is_clean = await daemon.stop()
    await daemon.close()
    logs.event('stopped', is_clean=is_clean)
    return EXIT_OK if is_clean else EXIT_CUT


def main(argv):
    """Check the settings and run."""
    del argv
    logging.use_absl_handler()
    try:
        settings = settings_module.load()
        if flags.FLAGS.check:
            print('settings are valid')
            return EXIT_OK
        return curio.run(serve, settings)
    except errors.SettingsError as exc:
        print(f'mangorock: {exc.message}', file=sys.stderr)
        return EXIT_SETTINGS


def run():
    """Entry point of the command ``mangorock``."""
    settings_module.define()
    flags.FLAGS.set_default('logtostderr', True)
    logging.set_verbosity(logging.INFO)
    app.run(main)


if __name__ == '__main__':
    run()
