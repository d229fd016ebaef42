"""The demo's fake servers, and the imports between the router, the demo and the fakes."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from fakes.demo_servers import DemoCacheServer, DemoDiscovery, response_body
from twisted.internet import testing
from twisted.internet.task import Clock

from thornjunction.demo import start
from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import ListChange, decode_commands
from thornjunction.net.wire.resp import ArrayReader, encode_array

ROOT = Path(__file__).resolve().parents[3]

HOST = {"host": "a", "dial": "127.0.0.1:1", "site": "z", "class": "box", "health": "active"}

MAX_ANSWER_BYTES = 10_000

# Prints the modules of the fakes, the fleet and the demo that a router with a configuration has imported.
LIST_IMPORTS = """
import os, sys
from pathlib import Path
from thornjunction.program import run_program
run_program(os.environ, Path("none.toml"))
import thornjunction.runtime.service
print(sorted(name for name in sys.modules if name.startswith(("fakes", "fleet_", "thornjunction.demo"))))
"""


def connect_transport(server: Any) -> Any:
    """Connect a server to a transport that records what is written, and return the transport."""
    module: Any = testing
    transport = module.StringTransport()
    server.makeConnection(transport)
    return transport


def test_the_cache_server_answers_a_request_with_bytes_derived_from_the_object() -> None:
    server = DemoCacheServer()
    transport = connect_transport(server)
    server.dataReceived(encode_array((b"want", b"1", b"name")))
    ((request_id, status, _, body),) = ArrayReader().feed(transport.value())
    assert (request_id, status, body) == (b"1", b"DONE", response_body(b"name"))


def test_the_cache_server_closes_the_connection_of_a_peer_that_sends_garbage() -> None:
    server = DemoCacheServer()
    transport = connect_transport(server)
    server.dataReceived(b"\x00\xff\r\n")
    assert transport.disconnecting


def test_discovery_lists_its_servers_once_and_holds_the_next_poll() -> None:
    clock = Clock()
    discovery = DemoDiscovery([HOST], clock)
    transport = connect_transport(discovery)
    answers = http1.ResponseReader(MAX_ANSWER_BYTES)
    discovery.dataReceived(http1.encode_get("/cmd/next?resume=0&block=1", "h"))
    (change,) = decode_commands(answers.feed(transport.value())[0].body).events
    assert isinstance(change, ListChange)
    assert [host.name for host in change.hosts] == ["a"]
    transport.clear()
    discovery.dataReceived(http1.encode_get("/cmd/next?resume=1&block=1200", "h"))
    clock.advance(1.1)
    assert not transport.value()
    clock.advance(0.2)
    assert decode_commands(answers.feed(transport.value())[0].body).events == ()


def test_the_demo_makes_the_fakes_importable_where_they_are_not_installed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(start, "find_spec", lambda _: None)
    monkeypatch.setattr(sys, "path", list(sys.path))
    start.make_fakes_importable()
    assert (Path(sys.path[-1]) / "fakes" / "demo_servers.py").is_file()


def test_a_router_with_a_configuration_imports_no_fakes(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text("{")
    environment = dict(os.environ) | {"PROXY_CONFIG": str(tmp_path / "config.json")}
    process = subprocess.run(
        [sys.executable, "-c", LIST_IMPORTS], env=environment, cwd=ROOT, capture_output=True, text=True
    )
    assert process.stdout == "[]\n", process.stderr


def test_the_routers_tree_has_only_the_start_of_the_demo() -> None:
    files = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("tests/**/*.py"), *ROOT.glob("benchmarks/*.py")]
    assert len(files) > 50
    assert [path for path in files if "thornjunction.demo" in path.read_text()] == []
    assert {path.name for path in (ROOT / "thornjunction" / "demo").glob("*.py")} == {
        "__init__.py",
        "start.py",
    }
