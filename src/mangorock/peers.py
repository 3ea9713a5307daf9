"""gRPC calls between daemons, bridged to curio tasks.

grpcio runs its own threads.  Incoming calls are put as typed messages into a
``curio.UniversalQueue`` and handled by one curio task; the replies to
outgoing calls are awaited through such a queue as well.  No gRPC thread
accesses the daemon's state.  Addresses come from the settings and the
membership; gRPC's name resolution and load balancing are not used.
"""

import concurrent.futures
import hmac

import attrs
import curio
import grpc

from mangorock import errors
from mangorock import membership
from mangorock import peer_pb2
from mangorock import peer_pb2_grpc

CALL_TIMEOUT_S = 2.0
SERVER_THREADS = 4
KEY_HEADER = 'mangorock-key'
_OPTIONS = [
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_receive_message_length', 16_000_000),
    ('grpc.so_reuseport', 0),
]


class PeerUnavailable(errors.MangorockError):
    """Another daemon did not answer; the call may still have taken effect."""

    run = errors.Run.UNKNOWN


@attrs.frozen
class IncomingCall:
    """A call from another daemon; ``reply`` is a future for its reply."""

    message: object
    reply: concurrent.futures.Future


def member_from_proto(proto):
    """Convert the wire form of a member to a `membership.Member`."""
    return membership.Member(
        proto.vm,
        proto.failure_domain,
        proto.peer_address,
        proto.caller_address,
        proto.incarnation,
        membership.State(proto.state),
    )


def member_to_proto(member):
    """Convert a `membership.Member` to its wire form."""
    return peer_pb2.Member(**attrs.asdict(member))


def message_from_proto(proto):
    """Convert the wire form of a message to a `membership.Message`."""
    return membership.Message(
        proto.vm,
        tuple(member_from_proto(m) for m in proto.news),
        proto.digest,
        proto.revision,
        proto.wants_all,
    )


def message_to_proto(message):
    """Convert a `membership.Message` to its wire form."""
    return peer_pb2.ProbeMessage(
        vm=message.vm,
        news=[member_to_proto(m) for m in message.news],
        digest=message.digest,
        revision=message.revision,
        wants_all=message.wants_all,
    )


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Checks the peer key, queues each call and waits for its reply."""

    def __init__(self, queue, key):
        self.queue = queue
        self.key = key.encode()

    def _forward(self, message, context):
        metadata = dict(context.invocation_metadata())
        given_key = metadata.get(KEY_HEADER, '').encode()
        if not hmac.compare_digest(given_key, self.key):
            context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                'wrong peer key; set the same --peer_key on every daemon',
            )
        reply = concurrent.futures.Future()
        self.queue.put(IncomingCall(message, reply))
        try:
            return reply.result(CALL_TIMEOUT_S)
        except TimeoutError:
            context.abort(
                grpc.StatusCode.UNAVAILABLE, 'this daemon is busy or ending'
            )

    def Probe(self, request, context):
        return self._forward(request, context)

    FetchTables = Probe
    Drain = Probe
    Join = Probe


class Peers:
    """The gRPC server of this daemon and the channels to other daemons."""

    def __init__(self, address, key):
        self.address = address
        self.key = key
        self.incoming = curio.UniversalQueue()
        self.channels = {}
        self.server = None

    def start(self):
        """Bind the address and start serving.

        Raises `errors.SettingsError` when the address cannot be bound.
        """
        pool = concurrent.futures.ThreadPoolExecutor(SERVER_THREADS)
        self.server = grpc.server(pool, options=_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(
            _Servicer(self.incoming, self.key), self.server
        )
        try:
            self.server.add_insecure_port(self.address)
        except RuntimeError:
            raise errors.SettingsError(
                f'--peer_address: {self.address} cannot be bound; is '
                'another daemon running on this VM?'
            )
        self.server.start()

    async def call(self, address, method, request):
        """Call ``method`` of the daemon at ``address``.

        Raises `PeerUnavailable` if the call fails or times out.
        """
        stub = self._stub(address)
        queue = curio.UniversalQueue()
        future = getattr(stub, method).future(
            request,
            timeout=CALL_TIMEOUT_S,
            metadata=((KEY_HEADER, self.key),),
        )
        future.add_done_callback(queue.put)
        await queue.get()
        try:
            return future.result()
        except grpc.RpcError as exc:
            raise PeerUnavailable(
                f'{address} did not answer {method} '
                f'({exc.code().name.lower()}); it is retried later'
            )

    def _stub(self, address):
        if address not in self.channels:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
            stub = peer_pb2_grpc.PeerStub(channel)
            self.channels[address] = (channel, stub)
        return self.channels[address][1]

    def close_channel(self, address):
        """Close the channel to a daemon, if there is one."""
        channel, _ = self.channels.pop(address, (None, None))
        if channel is not None:
            channel.close()

    def close(self):
        """Stop serving and close every channel; may be called twice."""
        if self.server is not None:
            self.server.stop(None)
            self.server = None
        for address in list(self.channels):
            self.close_channel(address)
