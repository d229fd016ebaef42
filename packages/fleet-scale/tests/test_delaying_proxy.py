"""Delaying proxies in a worker process, on real sockets."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from fleet_scale.environment.processes import WorkerProcess
from fleet_scale.messages import (
    Acknowledged,
    BlockRoutes,
    Direction,
    ProxyFigures,
    ProxyRoute,
    ProxySettings,
    ReportFigures,
    ResetConnections,
)

from thornjunction.runtime.addresses import Address

ROUTE = "a>b"
TIMEOUT_S = 20.0
MAX_BYTES = 99


@pytest.fixture
def target() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        yield listener


@pytest.fixture
def proxy(target: socket.socket, tmp_path: Path) -> Iterator[WorkerProcess]:
    """A proxy worker with one route to the target."""
    route = ProxyRoute(ROUTE, Address(*target.getsockname()), delay_ms=1.0)
    worker = WorkerProcess("proxy", tmp_path, ProxySettings((route,)))
    try:
        worker.reply(ProxyFigures)
        yield worker
    finally:
        worker.kill()
        worker.wait()


def figures(proxy: WorkerProcess) -> ProxyFigures:
    return proxy.call(ReportFigures(), ProxyFigures)


def connect(proxy: WorkerProcess) -> socket.socket:
    return socket.create_connection(("127.0.0.1", figures(proxy).ports[ROUTE]), timeout=TIMEOUT_S)


def accept(target: socket.socket) -> socket.socket:
    accepted, _ = target.accept()
    accepted.settimeout(TIMEOUT_S)
    return accepted


def block(proxy: WorkerProcess, *directions: Direction) -> None:
    proxy.call(BlockRoutes((ROUTE,), directions), Acknowledged)


def is_ended(peer: socket.socket) -> bool:
    """Whether the connection was closed or reset before any further data."""
    try:
        return peer.recv(MAX_BYTES) == b""
    except ConnectionError:
        return True


def test_a_proxy_forwards_both_directions_and_holds_back_a_blocked_one(
    proxy: WorkerProcess, target: socket.socket
) -> None:
    with connect(proxy) as client, accept(target) as server:
        client.sendall(b"forth")
        assert server.recv(MAX_BYTES) == b"forth"
        server.sendall(b"back")
        assert client.recv(MAX_BYTES) == b"back"
        block(proxy, Direction.BACKWARD)
        server.sendall(b"held")
        client.sendall(b"again")
        assert server.recv(MAX_BYTES) == b"again"
        assert figures(proxy).counters.bytes_forwarded == len(b"forth" + b"back" + b"again")
        block(proxy)
        assert client.recv(MAX_BYTES) == b"held"
        client.close()
        assert server.recv(MAX_BYTES) == b""


def test_a_connection_opened_during_a_block_is_never_established_and_an_earlier_one_survives(
    proxy: WorkerProcess, target: socket.socket
) -> None:
    with connect(proxy) as client, accept(target) as server:
        block(proxy, Direction.FORWARD, Direction.BACKWARD)
        with connect(proxy) as late_client:
            late_client.sendall(b"never")
            client.sendall(b"later")
            server.sendall(b"too")
            deadline_s = time.monotonic() + TIMEOUT_S
            while figures(proxy).open_connections < 2:
                assert time.monotonic() < deadline_s, "the proxy did not accept the connection"
            assert figures(proxy).counters.bytes_forwarded == 0
            block(proxy)
            assert is_ended(late_client)
        assert (server.recv(MAX_BYTES), client.recv(MAX_BYTES)) == (b"later", b"too")


def test_a_close_during_a_block_reaches_the_other_side_after_unblocking(
    proxy: WorkerProcess, target: socket.socket
) -> None:
    with connect(proxy) as client, accept(target) as server:
        block(proxy, Direction.FORWARD, Direction.BACKWARD)
        client.close()
        assert figures(proxy).open_connections == 1
        block(proxy)
        assert server.recv(MAX_BYTES) == b""


def test_reset_connections_are_reset(proxy: WorkerProcess, target: socket.socket) -> None:
    with connect(proxy) as client, accept(target):
        proxy.call(ResetConnections((ROUTE,)), Acknowledged)
        with pytest.raises(ConnectionResetError):
            client.recv(MAX_BYTES)
