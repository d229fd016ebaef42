"""Steps of the wall clock must not affect the handover of a listening socket between processes."""

from __future__ import annotations

import os
import signal
import socket
import time
from contextlib import closing
from pathlib import Path

import pytest
from fakes.raw_socket import (
    RawSocketCacheServer,
    RawSocketClient,
    bound_address,
    connect_when_listening,
    encode_request,
)

from tests.program.clock_environment import STEPS_S, TOLERANCE_S, SteppedClock, assert_duration
from tests.program.router_program import RouterProgram, fetch_check, listen_on_loopback, loopback_config
from thornjunction.runtime.shutdown import CHECK_INTERVAL_MS

# Time to live of the open request, in seconds.
REQUEST_S = 0.4


def is_listening(address: str) -> bool:
    """Whether a program accepts connections at the address."""
    host, _, port = address.partition(":")
    with socket.socket() as connection:
        return connection.connect_ex((host, int(port))) == 0


def start_request(port: int, new: RouterProgram, cache_server: RawSocketCacheServer) -> RawSocketClient:
    """Send a request that the old process accepts, because the new one is stopped until then."""
    new.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, new.process.pid, os.WSTOPPED)
    client = RawSocketClient(port)
    client.send(encode_request(1, "clips", ttl_ms=int(REQUEST_S * 1000)))
    cache_server.wait_for_request()
    new.process.send_signal(signal.SIGCONT)
    return client


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_handover_is_unaffected_by_clock_steps(step_s: float, tmp_path: Path, clock: SteppedClock) -> None:
    """The old process answers its open request at the deadline and exits; the new one serves."""
    with (
        listen_on_loopback() as shared,
        listen_on_loopback() as channel,
        closing(RawSocketCacheServer()) as cache_server,
    ):
        config = loopback_config(shared, channel, cache_server.listening, client_timeout_ms=600.0)
        with RouterProgram(tmp_path, shared, config) as old, RouterProgram(tmp_path, shared, config) as new:
            client = start_request(shared.getsockname()[1], new, cache_server)
            started_s = time.monotonic()
            old.process.send_signal(signal.SIGTERM)
            # The admin endpoint is closed together with the front.
            while is_listening(old.admin_address):
                pass
            clock.step(step_s)
            assert client.wait_for_end() == ("fin", 1)
            assert_duration(time.monotonic() - started_s, REQUEST_S)
            client.close()
            assert old.process.wait(2 * CHECK_INTERVAL_MS / 1000.0 + TOLERANCE_S) == 0
            with connect_when_listening(bound_address(shared)) as connection:
                assert fetch_check(connection) == b"Status: 200\r\n\r\n"
            assert new.process.poll() is None
            assert clock.is_seen_by(old.process.pid)
            assert clock.is_seen_by(new.process.pid)
