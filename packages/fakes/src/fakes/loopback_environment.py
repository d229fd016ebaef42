"""The production core, connection pool and fronts on loopback, with scripted fake cache servers."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from fakes.cache_server_messages import (
    DONE,
    NO_FIELDS,
    CacheServerCommand,
    CommandReader,
    encode_server_answer,
)
from fakes.clients import HttpClient
from fakes.config import LOOPBACK_HOST
from fakes.event_loop import Steps, reactor, wait_until
from fakes.unresponsive_listener import UnresponsiveListener
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.memory.budget import ByteBudget
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.fastcgi_front import FastCgiConnection, FastCgiRequestContext
from thornjunction.net.downstream.overhead import OverheadMeter
from thornjunction.net.downstream.signed_front import SignedConnection
from thornjunction.net.downstream.signed_requests import SignedRequestContext
from thornjunction.net.event_loop.ports import ListeningPort, Transport
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.net.upstream.context import PoolLimits
from thornjunction.net.wire.commands import Host
from thornjunction.policy.router import Router
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

# Initial Unix time (s) at which tokens are issued and checked.
START_UNIX_S = 1_000_000.0

# Upper bound on the bytes that all connections together may buffer.
BUFFER_BYTES = 1_000_000

# Upper bound on the client connections of the fronts.
MAX_CLIENTS = 10

# The seed of the router's random numbers.
RANDOM_SEED = 7

# The fields of an answer with a body: the object's revision, and the start of its age (Unix ms).
OBJECT_FIELDS = b"rev=t1,since=5"

# The weight of each listed server.
SERVER_WEIGHT = 8.0

POOL_LIMITS = PoolLimits(
    max_streams=4, connect_timeout_ms=400.0, idle_timeout_ms=15_000.0, max_connections=20
)

# The status and body of an answer; None leaves the request unanswered.
ScriptedAnswer = tuple[bytes, bytes] | None

DEFAULT_ANSWER: ScriptedAnswer = (DONE, b"wave")


class PortIndex(IntEnum):
    """Indices of the ports in ``LoopbackEnvironment.ports``."""

    EDGE = 0
    ORIGIN = 1
    SIGNED_FRONT = 2
    FASTCGI_FRONT = 3


# The names, roles and ports of the servers that an environment lists.
SERVERS = (("edge1", api.Role.EDGE, PortIndex.EDGE), ("origin", api.Role.ORIGIN, PortIndex.ORIGIN))


class FakeCacheServerConnection(protocol.Protocol):
    """A connection of a fake cache server; ``disconnect_error`` is the cause once it has ended."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, environment: LoopbackEnvironment) -> None:
        self.environment = environment
        self.disconnect_error: BaseException | None = None
        self._reader = CommandReader()
        environment.server_connections.append(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Store the cause (called by Twisted)."""
        self.disconnect_error = reason.value

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass the complete commands to the environment (called by Twisted)."""
        for command in self._reader.feed(data):
            self.environment.handle_command(self, command)

    def send_answer(self, request_id: bytes, status: bytes, body: bytes = b"") -> None:
        """Answer one request; an answer with a body also has the object's fields."""
        fields = OBJECT_FIELDS if body else NO_FIELDS
        self.transport.write(encode_server_answer(request_id, status, fields, body))


class LoopbackEnvironment:
    """A router's core, connection pool and both fronts, with a scripted edge cache and origin.

    Attributes:
        ports: the listening ports, in the order of ``PortIndex``.
        script: the answers to the next requests; later requests get ``DEFAULT_ANSWER``.
        received_commands: all commands that the cache servers have received.
        received_requests: connection and number of each request that the cache servers have received.
        unix_time_s: the Unix time (s) at which tokens are issued and checked.
    """

    def __init__(
        self,
        settings: api.Settings,
        classes: tuple[api.RequestClass, ...],
        trust: tokens.Trust,
        base_url: str,
    ) -> None:
        self.trust = trust
        self.base_url = base_url
        self.unix_time_s = START_UNIX_S
        self.received_commands: list[CacheServerCommand] = []
        self.server_connections: list[FakeCacheServerConnection] = []
        self.script: list[ScriptedAnswer] = []
        self.received_requests: list[tuple[FakeCacheServerConnection, bytes]] = []
        self.unresponsive_listeners: list[UnresponsiveListener] = []
        self._request_waiters: list[Deferred[None]] = []
        self.timer_service = TimerService(reactor)
        self._build_core(settings, classes)
        self._build_fronts(classes)
        self.list_servers()

    def _build_core(self, settings: api.Settings, classes: tuple[api.RequestClass, ...]) -> None:
        deadlines = self.timer_service.deadlines
        budget = ByteBudget(BUFFER_BYTES)
        self.pool = ConnectionPool(reactor, POOL_LIMITS, deadlines, core_ms, budget)
        self.counters = Counters(classes={request_class.name for request_class in classes})
        router = Router(settings, RANDOM_SEED)
        self.engine = Engine(router, settings.max_attempts, core_ms, deadlines, self.pool, self.counters)
        self.pool.report_to(self.engine)
        self.downstream_table = DownstreamTable(MAX_CLIENTS, budget, OverheadMeter(float))

    def _build_fronts(self, classes: tuple[api.RequestClass, ...]) -> None:
        by_name = {request_class.name: request_class for request_class in classes}
        self.signed_context = SignedRequestContext(
            self.engine, by_name, self.base_url, self.trust, ReplayWindow(), lambda: self.unix_time_s
        )
        self.fastcgi_context = FastCgiRequestContext(
            self.engine,
            lambda: True,
            lambda _client: b"",
            lambda _class_name, _answer: None,
            float,
            lambda _class_name: True,
        )
        self.ports: list[Any] = [
            self.listen(self._build_cache_server_connection),
            self.listen(self._build_cache_server_connection),
            self.listen(self._build_signed_connection),
            self.listen(self._build_fastcgi_connection),
        ]

    def _build_cache_server_connection(self) -> FakeCacheServerConnection:
        return FakeCacheServerConnection(self)

    def _build_signed_connection(self) -> SignedConnection:
        deadlines = self.timer_service.deadlines
        return SignedConnection(self.downstream_table, deadlines, core_ms, self.signed_context)

    def _build_fastcgi_connection(self) -> FastCgiConnection:
        return FastCgiConnection(
            self.downstream_table,
            self.timer_service.deadlines,
            core_ms,
            self.fastcgi_context,
        )

    def listen(self, build: Callable[[], protocol.Protocol]) -> ListeningPort:
        """Listen on a free loopback port."""
        port: ListeningPort = reactor.listenTCP(0, BuildFactory(build), interface=LOOPBACK_HOST)
        return port

    def list_servers(
        self, edge_state: api.ServerState = api.ServerState.SERVING, **new_addresses: tuple[str, int]
    ) -> None:
        """List both servers, the edge in ``edge_state``; ``new_addresses`` moves servers, by name."""
        hosts: list[Host] = []
        entries: list[api.ServerEntry] = []
        for name, role, index in SERVERS:
            address = new_addresses.get(name, (LOOPBACK_HOST, self.ports[index].getHost().port))
            state = edge_state if role is api.Role.EDGE else api.ServerState.SERVING
            hosts.append(Host(name, address, "here", "x", 0, state, SERVER_WEIGHT, 0.0))
            entries.append(api.ServerEntry(name, role, "here", state, weight=SERVER_WEIGHT))
        self.pool.update(tuple(hosts), True)
        self.engine.feed(api.EndpointListUpdate(tuple(entries)))

    def make_unresponsive(self, name: str) -> UnresponsiveListener:
        """Move a server to a port at which connects get no response; return its listener."""
        listener = UnresponsiveListener(self._build_cache_server_connection)
        self.unresponsive_listeners.append(listener)
        self.list_servers(api.ServerState.SERVING, **{name: listener.address})
        return listener

    def run_pool_deadlines(self, elapsed_ms: float) -> None:
        """Run the deadlines that are due in ``elapsed_ms``; the pool's clock is advanced during the call."""
        context = self.pool.context
        clock = context.clock
        context.clock = lambda: core_ms() + elapsed_ms
        self.timer_service.deadlines.run_due(core_ms() + elapsed_ms)
        context.clock = clock

    @inlineCallbacks
    def close_upstream_connections(self) -> Steps[None]:
        """Close the pool's connections, and wait until they have ended."""
        for connection in self.pool.connections:
            connection.abort("test")
        yield wait_until(lambda: not len(self.pool.connections))

    def handle_command(self, connection: FakeCacheServerConnection, command: CacheServerCommand) -> None:
        """Record a command that a cache server has received; answer a request by the script."""
        self.received_commands.append(command)
        if not command.is_request:
            return
        self.received_requests.append((connection, command.request_id))
        answer = self.script.pop(0) if self.script else DEFAULT_ANSWER
        if answer is not None:
            connection.send_answer(command.request_id, *answer)
        waiters = self._request_waiters
        self._request_waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def next_request(self) -> Deferred[None]:
        """Return a Deferred that fires when a cache server receives the next request."""
        waiter: Deferred[None] = Deferred()
        self._request_waiters.append(waiter)
        return waiter

    def forwarded_requests(self) -> list[CacheServerCommand]:
        """Return the received commands that are requests."""
        return [command for command in self.received_commands if command.is_request]

    def connect_client(
        self, front: int = PortIndex.SIGNED_FRONT, build: Callable[[], protocol.Protocol] = HttpClient
    ) -> Deferred[Any]:
        """Connect a client, which ``build`` makes, to a front."""
        endpoint: Any = TCP4ClientEndpoint(reactor, LOOPBACK_HOST, self.ports[front].getHost().port)
        connecting: Deferred[Any] = endpoint.connect(BuildFactory(build))
        return connecting

    def issue_token(self, target: str, lifetime_s: int = 60, **claims: Any) -> str:
        """Issue a token that admits one target."""
        container = "hash:" + tokens.uri_hash(self.base_url + target)
        return tokens.issue(self.trust, container, self.unix_time_s, lifetime_s, **claims)

    def sign_target(self, target: str, **claims: Any) -> str:
        """Return a request target with a token that admits it."""
        return f"{target}?URISigningPackage={self.issue_token(target, **claims)}"

    def wait_until(self, condition: Callable[[], object]) -> Deferred[None]:
        """Wait until a condition holds."""
        return wait_until(condition)

    @inlineCallbacks
    def stop(self) -> Steps[None]:
        """Close all ports and connections, and wait until they have ended."""
        self.timer_service.stop()
        for port in (*self.ports, *self.unresponsive_listeners):
            yield port.stopListening()
        for connection in (*self.downstream_table, *self.downstream_table.lingering):
            connection.abort("test")
        yield self.close_upstream_connections()
        yield wait_until(lambda: not self.downstream_table.connection_count)
        self.timer_service.stop()
