"""SIGTERM: all that was taken is answered before SIGKILL may come, and the program ends with 0."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import closing
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from fakes.config import platform_config
from fakes.raw_socket import RawSocketCacheServer, RawSocketClient, bound_address, call_admin, encode_request
from twisted.internet.testing import MemoryReactorClock

from tests.core.test_engine import CONFIG
from tests.net.downstream.builders import FASTCGI, ClientConnections
from tests.program.test_program import ROOT
from tests.runtime.test_handover import Program
from thornjunction.core.counters import Counters
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.service import Service
from thornjunction.runtime.shutdown import (
    ACCEPT_WINDOW_MS,
    CHECK_INTERVAL_MS,
    KILL_DELAY_MS,
    MAX_DEADLINE_MS,
    Shutdown,
)


@pytest.mark.parametrize("longest_ms", [30.0, 600.0, 3_000.0, 9_000.0])
def test_what_is_open_has_its_time_to_the_end_and_the_end_comes_before_sigkill(longest_ms: float) -> None:
    clients = ClientConnections()
    at = dict[str, float]()
    mark = lambda what: lambda: at.setdefault(what, clients.clock.now_ms - 1000.0)  # noqa: E731
    engine: Any = SimpleNamespace(requests=[1], shutdown_at_ms=0.0)
    drain = Drain(
        clients.table,
        clients.clock.deadlines,
        clients.clock,
        lambda: [mark("hurry")(), engine.requests.clear()],
    )  # type: ignore[func-returns-value]
    shutdown = Shutdown(clients.table, drain, engine, clients.clock.deadlines, clients.clock, mark("stop"))
    clients.connect(FASTCGI)  # and never asks
    shutdown.start(longest_ms, [SimpleNamespace(stopListening=mark("close"))], accept_new=True)
    killed_at = min(longest_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS
    clients.clock.advance(killed_at)
    assert 500.0 < at["close"] <= ACCEPT_WINDOW_MS and at["hurry"] == engine.shutdown_at_ms - 1000.0
    assert (
        killed_at - 200.0 <= at["hurry"] < at["stop"] <= killed_at - 3 * CHECK_INTERVAL_MS
        and drain.is_refusing
    )


def test_requests_at_a_shelf_that_hangs_a_retry_that_waits_and_one_that_crosses(tmp_path: Path) -> None:
    """Also one whose own time goes past SIGKILL, a connection that never asks, and a second signal."""
    server = lambda: socket.create_server(("127.0.0.1", 0))  # noqa: E731
    with server() as shared, server() as channel, closing(RawSocketCacheServer()) as shelf:
        config = platform_config(
            bound_address(shared),
            bound_address(channel),
            bound_address(shelf.listening),
            client_timeout_ms=600.0,
        )
        program = Program(tmp_path, shared, config)
        try:
            clients = [RawSocketClient(shared.getsockname()[1]) for _ in range(4)]  # the last one never asks
            clients[0].send(encode_request(1, "clips", ttl_ms=9000))
            shelf.wait_for_request()
            clients[1].send(encode_request(5, "orders"))
            shelf.send_answer(shelf.wait_for_request(), b"WAIT")
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGTERM)
            while call_admin(program.door, "check") != "NAK\n":
                pass
            clients[2].send(encode_request(6, "clips", ttl_ms=600))
            assert [client.wait_for_end() for client in clients] == [("fin", 1)] * 3 + [("fin", 0)]
            assert program.process.wait(20) == 0
        finally:
            program.process.kill()
            program.process.wait()


def test_before_it_is_ready_it_ends_at_once_and_opens_no_port() -> None:
    config, reactor = parse_config(json.dumps(CONFIG).encode(), {}), MemoryReactorClock()
    service = Service(config, None, reactor, Counters(), lambda: config)
    service.start()
    service.shut_down()
    service.begin_serving()  # the command channel's first answer, or half a second without one
    assert reactor.hasStopped and not reactor.tcpServers


def test_before_it_has_read_its_configuration_it_ends_with_0_too(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    os.mkfifo(path)
    command, env = [sys.executable, "-m", "thornjunction"], os.environ | {"PROXY_CONFIG": str(path)}
    with subprocess.Popen(command, env=env, cwd=ROOT) as program, path.open("w"):  # opens once it is read
        program.send_signal(signal.SIGTERM)
        assert program.wait(20) == 0
