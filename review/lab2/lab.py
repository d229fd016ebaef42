"""Stand-ins and tools of the second review: discovery, cache servers, clients and the router's process.

Only the standard library is used.  Everything listens on free ports of the loopback address.
"""

from __future__ import annotations

import asyncio
import atexit
import hashlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"

# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2

# Time that the protocol adds to each limit.
SLACK_MS = 50.0


def unix_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * 1000.0


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        return int(unused.getsockname()[1])


def is_disrupted() -> bool:
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, with Unix times in ms."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_ms = unix_ms()

    def add(self, who: str, what: str) -> float:
        """Write one line and return its Unix time in ms."""
        now_ms = unix_ms()
        self._file.write(f"{now_ms:.1f} +{now_ms - self.started_ms:.0f} {who}: {what}\n")
        self._file.flush()
        return now_ms

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# Discovery


class Discovery:
    """The command channel: numbered events, answered by long polls.

    ``delay_s`` is the time that discovery takes for each answer; ``until_close`` sends answers without a
    length, which end with the connection.
    """

    def __init__(self, record: Record) -> None:
        self.events: list[dict[str, Any]] = []
        self.delay_s = 0.0
        self.until_close = False
        self.polls = 0
        self.port = 0
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address of the command channel."""
        return f"{HOST}:{self.port}"

    def publish(self, **event: Any) -> float:
        """Add the next event; return the Unix time in ms from which it is in the command channel."""
        self.events.append({"cursor": len(self.events) + 1, **event})
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return self._record.add("discovery", f"event {json.dumps(self.events[-1])}")

    def known(self) -> dict[str, Any]:
        """Return all events in the form that the configuration and an answer have."""
        return self._document(0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _document(self, resume: int) -> dict[str, Any]:
        later = [event for event in self.events if event["cursor"] > resume]
        return {"cursor": len(self.events), "cmds": later}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gone = asyncio.Event()
        try:
            while not gone.is_set():
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head.decode("latin-1").split(" ")[1], writer)
                if self.until_close:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self._record.add("discovery", "the router closed its connection")
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        resume = int(query["resume"][0])
        block_s = min(float(query.get("block", ["0"])[0]), 5000.0) / 1000.0
        self.polls += 1
        self._record.add("discovery", f"poll {target}")
        until = time.monotonic() + block_s
        while len(self.events) <= resume and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        document = self._document(resume)
        await asyncio.sleep(self.delay_s)
        body = json.dumps(document).encode()
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        head += "Connection: close\r\n" if self.until_close else f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        self._record.add("discovery", f"answer to {target}: cursor {document['cursor']}")


# Cache servers


@dataclass
class Want:
    """One request that reached a cache server; times are Unix ms of its first byte and of its end."""

    server: str
    txn: str
    fields: Mapping[str, str]
    at_ms: float
    ended: str = ""
    since_ms: float = 0.0


@dataclass
class Shelf:
    """A cache server, a parent or the origin.

    ``service_s`` gives the time that a request takes.  Copies are kept by object and part, with the Unix time
    at which the origin gave them out.
    """

    record: Record
    name: str
    kind: str
    site: str = "edge-1"
    share: float = 8.0
    service_s: Callable[[Want], float] = lambda _want: 0.005
    body_bytes: int = 2000
    block: int = 0
    wants: list[Want] = field(default_factory=list)
    copies: dict[str, float] = field(default_factory=dict)
    on_want: Callable[[Want], None] | None = None
    port: int = 0
    is_logged: bool = True
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def host(self, health: str = "active", born_ms: float = 0) -> dict[str, Any]:
        """Return this server's line in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": health,
            "share": self.share,
            "born_ms": int(born_ms),
        }

    async def start(self) -> None:
        """Listen on its port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def crash(self) -> None:
        """Stop listening and reset all connections, as a process that dies does."""
        self.record.add(self.name, "the process dies")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def body(self, thing: str, nth: str) -> bytes:
        """Return the bytes of one part."""
        return body_of(thing, nth, self.body_bytes)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                items = await read_array(reader)
                verb = items[0].decode()
                if verb == "want":
                    want = Want(self.name, items[1].decode(), read_fields(items[2]), unix_ms())
                    running[want.txn] = asyncio.create_task(self._run(want, writer))
                elif verb == "never_mind":
                    task = running.pop(items[1].decode(), None)
                    if task is not None:
                        task.cancel()
                else:
                    writer.write(encode_array(items[1], b"FIT", b"-", b""))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            for task in running.values():
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _run(self, want: Want, writer: asyncio.StreamWriter) -> None:
        self.wants.append(want)
        if self.is_logged:
            self.record.add(self.name, f"want {want.txn} {dict(want.fields)}")
        if self.on_want is not None:
            self.on_want(want)
        try:
            await asyncio.sleep(self.service_s(want))
        except asyncio.CancelledError:
            want.ended = "given up"
            return
        fields, body = self._content(want)
        want.ended = "DONE"
        if not writer.is_closing():
            writer.write(encode_array(want.txn.encode(), b"DONE", fields, body))
        if self.is_logged:
            self.record.add(self.name, f"DONE {want.txn} since {want.since_ms:.0f}")

    def _content(self, want: Want) -> tuple[bytes, bytes]:
        thing, nth = want.fields["thing"], want.fields.get("nth", "0")
        copy = f"{thing}/{nth}"
        cap_ms = float(want.fields.get("cap", "0"))
        since_ms = self.copies.get(copy)
        if since_ms is None or (cap_ms and unix_ms() - since_ms > cap_ms):
            since_ms = unix_ms()
            self.copies[copy] = since_ms
        want.since_ms = since_ms
        return f"rev=t{thing[:6]},since={since_ms:.0f}".encode(), self.body(thing, nth)


def body_of(thing: str, nth: str, size: int) -> bytes:
    """Return the bytes of one part of an object."""
    seed = hashlib.sha256(f"{thing}/{nth}".encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    items = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


def encode_array(*items: bytes) -> bytes:
    """Encode one RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def read_fields(data: bytes) -> dict[str, str]:
    """Return the fields of a request."""
    if data == b"-":
        return {}
    return dict(pair.split("=", 1) for pair in data.decode().split(","))


# Clients

_HEADER = struct.Struct("!BBHHBx")


def fastcgi_record(kind: int, request_id: int, content: bytes) -> bytes:
    """Encode one FastCGI record."""
    return _HEADER.pack(1, kind, request_id, len(content), 0) + content


def fastcgi_request(request_id: int, params: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a FastCGI request of the role Responder with KEEP_CONN."""
    pairs = b""
    for name, value in params.items():
        for text in (name, value):
            size = len(text)
            pairs += bytes([size]) if size < 128 else struct.pack("!I", size | 0x80000000)
        pairs += name.encode() + value.encode()
    data = fastcgi_record(1, request_id, b"\x00\x01\x01" + bytes(5))
    data += fastcgi_record(4, request_id, pairs) + fastcgi_record(4, request_id, b"")
    if body:
        data += fastcgi_record(5, request_id, body)
    return data + fastcgi_record(5, request_id, b"")


@dataclass
class Reply:
    """How a request ended for its client; the status is 0 if there was no whole answer."""

    status: int
    body: bytes
    sent_ms: float
    ended_ms: float
    detail: str = ""


class Client:
    """One connection of the platform's web servers, which carries several requests."""

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._port = port
        self._next_id = 0
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._output: dict[int, bytes] = {}
        self._sent_ms: dict[int, float] = {}
        self._reading: asyncio.Task[None] | None = None
        self.extra_wait_s = 0.5 + SLACK_MS / 1000.0
        self.writer: asyncio.StreamWriter | None = None
        self.is_open = False

    async def connect(self) -> None:
        """Connect to the router."""
        reader, self.writer = await asyncio.open_connection(HOST, self._port)
        self.is_open = True
        self._reading = asyncio.create_task(self._read(reader))

    def close(self) -> None:
        """Close the connection."""
        if self._reading is not None:
            self._reading.cancel()
        if self.writer is not None:
            self.writer.close()

    async def check(self) -> int:
        """Return the status of the answer to ``/check``."""
        return (await self._send({"SCRIPT_NAME": "/check"}, 2000.0)).status

    async def request(
        self, class_name: str, thing: str, ttl_ms: float, body: bytes = b"", **headers: str
    ) -> Reply:
        """Send one request and wait for its end, at most half a second longer than the client waits."""
        params = {
            "SCRIPT_NAME": f"/do/{class_name}",
            "HTTP_X_TXN": os.urandom(8).hex(),
            "HTTP_X_TTL_MS": f"{ttl_ms:.0f}",
            "HTTP_X_ROW": thing,
            "HTTP_X_PART": "0",
            "HTTP_X_GROUP": "17",
        }
        params |= {f"HTTP_{name}": value for name, value in headers.items()}
        return await self._send(params, ttl_ms, body)

    async def _send(self, params: Mapping[str, str], ttl_ms: float, body: bytes = b"") -> Reply:
        assert self.writer is not None
        self._next_id += 1
        request_id = self._next_id
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        self._output[request_id] = b""
        self.writer.write(fastcgi_request(request_id, params, body))
        self._sent_ms[request_id] = unix_ms()
        try:
            return await asyncio.wait_for(future, ttl_ms / 1000.0 + self.extra_wait_s)
        except TimeoutError:
            self._waiting.pop(request_id, None)
            return Reply(0, b"", self._sent_ms[request_id], unix_ms(), "never answered")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        detail = "the connection was closed"
        try:
            while True:
                _, kind, request_id, size, padding = _HEADER.unpack(await reader.readexactly(8))
                content = (await reader.readexactly(size + padding))[:size]
                self._handle(kind, request_id, content)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            detail = f"the connection ended: {type(error).__name__}"
        finally:
            self.is_open = False
            for request_id in list(self._waiting):
                self._finish(request_id, Reply(0, b"", self._sent_ms[request_id], unix_ms(), detail))

    def _handle(self, kind: int, request_id: int, content: bytes) -> None:
        if kind == 6:
            self._output[request_id] = self._output.get(request_id, b"") + content
        elif kind == 3:
            head, _, body = self._output.pop(request_id, b"").partition(b"\r\n\r\n")
            words = head.split(b"\r\n")[0].split()
            status = int(words[1]) if len(words) > 1 else 503 if content[4] == 2 else 500
            self._finish(request_id, Reply(status, body, self._sent_ms[request_id], unix_ms(), head.decode()))

    def _finish(self, request_id: int, reply: Reply) -> None:
        future = self._waiting.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)


# The router's process

KINDS = ["box", "upper", "root"]


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one router, one zone with caches, and a hub."""
    base: dict[str, Any] = {
        "allowed": {
            "attemptsCap": 6,
            "cancel": True,
            "connIdleMs": 15000.0,
            "dialTimeoutMs": 400.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 500.0,
            "maxStreams": 32,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "classes": [
            request_class("clips", 5000.0, "safe", aimMs=500.0),
            request_class("readings", 2500.0, "safe", aimMs=250.0),
            request_class("alerts", 3000.0, "keyed", aimMs=600.0, memorySpanMs=6000.0),
        ],
        "instances": 1,
        "machineTypes": KINDS,
        "me": 0,
        "myZone": "edge-1",
        "report": {"columns": [], "how": "none"},
        "safety": {
            "answerSlackMs": 8.0,
            "coldMs": 16000.0,
            "drainGraceMs": 500.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "startCapacity": 0.17,
        },
        "specifics": {
            "classFreshMs": [0.0, 20000.0, 0.0],
            "hubByZone": [0, 0],
            "instancesByZone": [0, 1],
            "mayPassBy": True,
            "obeyAfterMs": 1000.0,
            "oneFlowKbPerS": 10000.0,
            "parentFloor": 0.066,
            "parentWarmsInMs": 20000.0,
            "passOn": [False, False, True],
            "purgeTakesMs": 6000.0,
            "rootKind": 2,
            "says": "none",
            "secondTierKind": 1,
            "siblings": "location",
            "staleEarns": [0.7, 0.7, 0.7],
            "staleForMs": [0.0, 0.0, 0.0],
            "upperFallMultiple": 2.0,
        },
        "weights": "rough",
        "zones": ["north-hub", "edge-1"],
    }
    return base | changes


def request_class(name: str, give_up_ms: float, idempotency: str, **more: Any) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "aimMs": give_up_ms / 2,
        "aimStretch": 2.0,
        "giveUpMs": give_up_ms,
        "group": "all",
        "idempotency": idempotency,
        "lateWorth": 0.15,
        "memorySpanMs": 5000.0,
        "worth": 1.0,
        **more,
    }


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    document = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(document[name])


class Router:
    """A process of the router, started by the deploy file's ``run`` command with further arguments."""

    def __init__(self, record: Record, folder: Path, label: str = "router") -> None:
        self.listen_port = free_port()
        self.admin_port = free_port()
        self.label = label
        self.memory_mb = 192
        self.config_path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None
        self._record = record
        self._folder = folder

    def configure(self, discovery: Discovery, router_settings: Mapping[str, Any]) -> None:
        """Write the configuration."""
        document = {
            "name": "n1",
            "listen": f"{HOST}:{self.listen_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "channel": discovery.address,
            "known": discovery.known(),
            "settings": router_settings,
        }
        self.config_path.write_text(json.dumps(document), encoding="utf-8")

    def start(self, arguments: str = "", socket_fd: int | None = None, **environment: str) -> None:
        """Start the process; with ``socket_fd`` it inherits the clients' listening socket."""
        variables = {
            "PROXY_CONFIG": str(self.config_path),
            "PROXY_NAME": "n1",
            "PROXY_LISTEN": f"{HOST}:{self.listen_port}",
            "PROXY_ADMIN_ADDR": f"{HOST}:{self.admin_port}",
            "TMPDIR": str(self._folder),
        }
        if socket_fd is not None:
            variables["PROXY_SOCKET_FD"] = str(socket_fd)
        log = (self._folder / f"{self.label}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"{deploy_command('run')} {arguments}"],
            cwd=ROOT,
            env=os.environ | variables | environment,
            pass_fds=[] if socket_fd is None else [socket_fd],
            stdout=log,
            stderr=log,
        )
        atexit.register(self.process.kill)
        self._record.add(self.label, f"started as process {self.process.pid}")

    async def wait_until_ready(self, timeout_s: float = 30.0) -> bool:
        """Wait until the admin endpoint says yes; return False if the process ends or it takes too long."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until and self.process is not None and self.process.poll() is None:
            if (await self.call("check")).startswith("ACK"):
                self._record.add(self.label, "is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def require_ready(self) -> None:
        """Wait until the process is ready; raise CannotRunError if it does not become so."""
        require(await self.wait_until_ready(), f"the {self.label} process is not ready")

    async def call(self, line: str) -> str:
        """Make a call at the admin endpoint; return its reply, empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.admin_port)
            writer.write(f"{line}\n".encode())
            reply = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
            return reply.decode()
        except (OSError, TimeoutError):
            return ""

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; return its Unix time in ms."""
        assert self.process is not None
        self.process.send_signal(number)
        return self._record.add(self.label, f"gets {number.name}")

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return None if self.process is None else self.process.poll()

    def log_lines(self) -> list[str]:
        """Return the lines of the log so far."""
        path = self._folder / f"{self.label}.log"
        return path.read_text(encoding="utf-8", errors="replace").splitlines() if path.exists() else []

    async def end(self) -> None:
        """End the process if it still runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.kill()
        await asyncio.to_thread(self.process.wait)


class CannotRunError(Exception):
    """The case could not be played."""


def require(condition: object, reason: str) -> None:
    """Raise CannotRunError with this reason unless the condition holds."""
    if not condition:
        raise CannotRunError(reason)


def run_case(case: Callable[[Record, Path], Awaitable[Sequence[str]]], folder: Path) -> None:
    """Play a case, print what broke the rule, and exit with the case's code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            found = asyncio.run(_bounded(case, record, Path(temporary)))
        for line in found:
            record.add("broken", line)
            print(line)
        code = BROKEN if found else HELD
    except Exception as error:
        record.add("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.add("case", {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "did not run"}[code])
    record.close()
    sys.exit(code)


async def _bounded(
    case: Callable[[Record, Path], Awaitable[Sequence[str]]], record: Record, folder: Path
) -> Sequence[str]:
    async with asyncio.timeout(110.0):
        return await case(record, folder)
