"""A process is replaced while a client repeats a keyed request, with the real program."""

from __future__ import annotations

import json
import select
import signal
import socket
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from fakes.cache_server_messages import DONE
from fakes.raw_socket import RawSocketCacheServer, RawSocketClient, encode_request

from tests.program.router_program import EXIT_TIMEOUT_S, RouterProgram, listen_on_loopback, loopback_config

# Time that a client waits for each of its tries.
CLIENT_TIMEOUT_MS = 3000

# A window that has passed before a second process is ready, and one that outlasts the test.
SHORT_WINDOW_MS = 50.0
LONG_WINDOW_MS = 60_000.0

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def keyed_config(base: dict[str, Any], scope: str, window_ms: float) -> dict[str, object]:
    """Return a configuration whose class ``orders`` is keyed."""
    config: dict[str, Any] = json.loads(json.dumps(base))
    _, orders = config["settings"]["classes"]
    orders |= {"idempotency": "keyed", "group": scope, "memorySpanMs": window_ms}
    return config


class KeyedClient:
    """A client that sends one request under the same key again and again, each time on a new connection."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._tries = 0

    def send(self) -> RawSocketClient:
        """Send one more try."""
        self._tries += 1
        client = RawSocketClient(self._port)
        client.send(
            encode_request(self._tries, "orders", keep=False, ttl_ms=CLIENT_TIMEOUT_MS, HTTP_X_TXN_KEY=KEY)
        )
        return client


def answer_next_connection(cache_server: RawSocketCacheServer) -> None:
    """Serve the first request on the next connection."""
    cache_server.connection = None
    request_id = cache_server.wait_for_request()
    cache_server.send_answer(request_id, DONE)


def has_pending_connection(listening: socket.socket) -> bool:
    """Whether a program has connected and was not accepted yet."""
    return bool(select.select([listening], [], [], 0.0)[0])


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
@pytest.mark.parametrize("window_ms", [SHORT_WINDOW_MS, LONG_WINDOW_MS])
def test_a_keyed_request_is_repeated_by_the_new_process_only_within_the_window(
    scope: str, window_ms: float, tmp_path: Path
) -> None:
    """Guards against a second execution: the new process has not sent the first attempt itself."""
    with (
        listen_on_loopback() as shared,
        listen_on_loopback() as channel,
        closing(RawSocketCacheServer()) as cache_server,
    ):
        base: Any = loopback_config(shared, channel, cache_server.listening, float(CLIENT_TIMEOUT_MS))
        config = keyed_config(base, scope, window_ms)
        client = KeyedClient(shared.getsockname()[1])
        with RouterProgram(tmp_path, shared, config) as old:
            first = client.send()
            cache_server.wait_for_request()
            first.close()
            with RouterProgram(tmp_path, shared, config) as new:
                old.process.send_signal(signal.SIGTERM)
                assert old.process.wait(EXIT_TIMEOUT_S) == 0
                second = client.send()
                if window_ms == LONG_WINDOW_MS:
                    answer_next_connection(cache_server)
                assert second.wait_for_end() == ("fin", 1)
                assert (b"Status: 200" in second.received) == (window_ms == LONG_WINDOW_MS)
                assert not has_pending_connection(cache_server.listening)
                second.close()
                assert new.process.poll() is None
