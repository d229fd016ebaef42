"""SIGTERM: all accepted requests are answered before SIGKILL may come, and the program exits with 0."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import closing
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from fakes.raw_socket import RawSocketCacheServer, RawSocketClient, encode_request
from twisted.internet.testing import MemoryReactorClock

from tests.net.downstream.builders import FASTCGI, ClientConnections
from tests.program.router_program import (
    EXIT_TIMEOUT_S,
    ROOT,
    RouterProgram,
    listen_on_loopback,
    loopback_config,
)
from tests.runtime.test_config import CONFIG
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

# Initial reading of the fake clock.
START_MS = 1000.0

# Period before SIGKILL within which the remaining open requests are answered at once.
FINAL_ANSWERS_MS = 200.0


@pytest.mark.parametrize("max_deadline_ms", [30.0, 600.0, 3_000.0, 9_000.0])
def test_open_requests_keep_their_time_and_the_process_stops_before_sigkill(
    max_deadline_ms: float,
) -> None:
    clients = ClientConnections()
    clock = clients.clock
    moments_ms: dict[str, float] = {}
    engine: Any = SimpleNamespace(requests=[1], shutdown_at_ms=0.0)

    def record(moment: str) -> None:
        moments_ms.setdefault(moment, clock.now_ms - START_MS)

    def answer_all_now() -> None:
        record("final answers")
        engine.requests.clear()

    drain = Drain(clients.table, clock.deadlines, clock, answer_all_now)
    stop = partial(record, "stop")
    shutdown = Shutdown(clients.table, drain, engine, clock.deadlines, clock, stop)
    # A client that never sends anything.
    clients.connect(FASTCGI)
    port = SimpleNamespace(stopListening=partial(record, "close"))
    shutdown.start(max_deadline_ms, [port], accept_connections=True)
    killed_ms = min(max_deadline_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS
    clock.advance(killed_ms)
    assert 500.0 < moments_ms["close"] <= ACCEPT_WINDOW_MS
    assert moments_ms["final answers"] == engine.shutdown_at_ms - START_MS
    assert killed_ms - FINAL_ANSWERS_MS <= moments_ms["final answers"] < moments_ms["stop"]
    assert moments_ms["stop"] <= killed_ms - 3 * CHECK_INTERVAL_MS
    assert drain.is_refusing


def test_open_requests_are_answered_though_a_cache_server_hangs(tmp_path: Path) -> None:
    """One request is at a server that hangs, one waits for its retry, one arrives during the shutdown.

    The deadline of the first is after SIGKILL.  A fourth client sends nothing, and SIGTERM is sent twice.
    """
    with (
        listen_on_loopback() as shared,
        listen_on_loopback() as channel,
        closing(RawSocketCacheServer()) as cache_server,
    ):
        config = loopback_config(shared, channel, cache_server.listening, client_timeout_ms=600.0)
        with RouterProgram(tmp_path, shared, config) as program:
            port = shared.getsockname()[1]
            hanging, retrying, late, silent = (RawSocketClient(port) for _ in range(4))
            hanging.send(encode_request(1, "clips", ttl_ms=9000))
            cache_server.wait_for_request()
            retrying.send(encode_request(5, "orders"))
            cache_server.send_answer(cache_server.wait_for_request(), b"WAIT")
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGTERM)
            while program.call("check") != "NAK\n":
                pass
            late.send(encode_request(6, "clips", ttl_ms=600))
            assert [client.wait_for_end() for client in (hanging, retrying, late)] == [("fin", 1)] * 3
            assert silent.wait_for_end() == ("fin", 0)
            assert program.process.wait(EXIT_TIMEOUT_S) == 0


def test_sigterm_before_the_router_is_ready_stops_it_without_opening_a_port() -> None:
    config = parse_config(json.dumps(CONFIG).encode(), {})
    reactor = MemoryReactorClock()
    service = Service(config, None, reactor, Counters(), lambda: config)
    service.start()
    service.shut_down()
    service.begin_serving()  # called for the command channel's first response, or after its time-out of 0.5 s
    assert reactor.hasStopped
    assert not reactor.tcpServers


def test_sigterm_before_the_configuration_is_read_exits_with_0(tmp_path: Path) -> None:
    """The configuration is a FIFO, which can be opened for writing only once the program opens it to read."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    command = [sys.executable, "-m", "thornjunction"]
    env = os.environ | {"PROXY_CONFIG": str(path)}
    with subprocess.Popen(command, env=env, cwd=ROOT) as program, path.open("w"):  # waits for a reader
        program.send_signal(signal.SIGTERM)
        assert program.wait(EXIT_TIMEOUT_S) == 0
