"""The stand-ins, and who may know them."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from fakes.scripted import DemoDiscovery, DemoShelf, body_of
from twisted.internet import testing
from twisted.internet.task import Clock

from thornjunction.demo import start
from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import ListChange, decode_commands
from thornjunction.net.wire.resp import ArrayReader, encode_array

ROOT = Path(__file__).resolve().parents[3]
untyped: Any = testing


def connected(peer: Any) -> Any:
    transport = untyped.StringTransport()
    peer.makeConnection(transport)
    return transport


def test_a_shelf_answers_a_want_with_the_bytes_of_its_name_and_parts_from_garbage() -> None:
    shelf = DemoShelf()
    transport = connected(shelf)
    shelf.dataReceived(encode_array((b"want", b"1", b"name")))
    ((ident, word, _, body),) = ArrayReader().feed(transport.value())
    assert (ident, word, body) == (b"1", b"DONE", body_of(b"name"))
    shelf.dataReceived(b"\x00\xff\r\n")
    assert transport.disconnecting


def test_discovery_tells_its_list_once_and_holds_the_next_poll() -> None:
    clock = Clock()
    hosts = [{"host": "a", "dial": "127.0.0.1:1", "site": "z", "class": "box", "health": "active"}]
    discovery = DemoDiscovery(hosts, clock)
    transport = connected(discovery)
    answers = http1.ResponseReader(10_000)
    discovery.dataReceived(http1.encode_get("/cmd/next?resume=0&block=1", "h"))
    told = decode_commands(answers.feed(transport.value())[0].body)
    (change,) = told.events
    assert isinstance(change, ListChange) and [host.name for host in change.hosts] == ["a"]
    transport.clear()
    target = "/cmd/next?resume=1&block=1200"
    discovery.dataReceived(http1.encode_get(target, "h"))
    clock.advance(1.1)
    assert not transport.value()
    clock.advance(0.2)
    assert decode_commands(answers.feed(transport.value())[0].body).events == ()


def test_the_demo_finds_the_stand_ins_where_only_the_platforms_build_was_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(start, "find_spec", lambda _: None)
    monkeypatch.setattr(sys, "path", list(sys.path))
    start.make_fakes_importable()
    assert (Path(sys.path[-1]) / "fakes" / "scripted.py").is_file()


def test_a_router_with_a_configuration_knows_no_stand_in(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text("{")
    code = (
        "import os, sys; from pathlib import Path; from thornjunction.program import run_program;"
        "run_program(os.environ, Path('none.toml'));"
        "import thornjunction.runtime.service;"
        "print(sorted(n for n in sys.modules if n.startswith(('fakes', 'fleet_', 'thornjunction.demo'))))"
    )
    env = dict(os.environ) | {"PROXY_CONFIG": str(tmp_path / "config.json")}
    known = subprocess.run([sys.executable, "-c", code], env=env, cwd=ROOT, capture_output=True, text=True)
    assert known.stdout == "[]\n", known.stderr


def test_only_the_demo_start_stands_in_the_routers_own_tree() -> None:
    files = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("tests/**/*.py"), *ROOT.glob("benchmarks/*.py")]
    assert len(files) > 50
    assert [path for path in files if "thornjunction.demo" in path.read_text()] == []
    assert {path.name for path in (ROOT / "thornjunction" / "demo").glob("*.py")} == {
        "__init__.py",
        "start.py",
    }
