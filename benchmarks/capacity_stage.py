"""The stage of ``capacity_router.py``: a real ``run`` process, the shelfs in a process of their own, and
discovery and the clients in this one, all on loopback.  Run by itself it is the shelfs' process."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import astuple, dataclass
from pathlib import Path

from fakes.clients import encode_fastcgi_request

from tests.core.test_engine import CONFIG
from thornjunction.net.wire.resp import ArrayReader, encode_array

ROOT = Path(__file__).resolve().parent.parent
SIZES = (1_000, 16_000, 64_000, 240_000)  # bytes of an answer; the platform's largest is the last
NAMED = 1_000  # of an answer's bytes: the object's name says how many of these the shelf sends
LINKS, MOST_MS, STRETCH_S = 16, 4_000, 20.0  # of the clients; for which they wait; for a stretch's last ends
OWN, LISTED, PARENTS, BURST = 8, 440, 6, 48  # shelfs; requests of a burst
END, HEAD = 3, 8  # of FastCGI: the kind of a request's last record; bytes before a record's content


def die_with_parent() -> None:
    """A driver that is killed leaves no process behind."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Shelf(asyncio.Protocol):
    """Answers each want at once with as many bytes as the object's name says."""

    bodies = {size: bytes(size) for size in SIZES}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.reader = transport, ArrayReader()

    def data_received(self, data: bytes) -> None:
        for verb, ident, *rest in self.reader.feed(data):
            if verb == b"want":  # else one is given up
                thing = dict(pair.split(b"=") for pair in rest[0].split(b","))[b"thing"]
                body = self.bodies[int(thing[:8], 16) * NAMED]
                said = encode_array((ident, b"DONE", b"rev=t1,since=5", body))
                self.transport.write(said)  # type: ignore[attr-defined]


async def serve_shelf() -> None:
    """The shelfs' process: its port on standard output; it ends with its standard input."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Shelf, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    os._exit(0)


class Discovery(asyncio.Protocol):
    """Has nothing new, after each poll's block time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        resume, block = (
            int(data.split(name)[1].split(b"&")[0].split()[0]) for name in (b"resume=", b"block=")
        )
        body = b'{"cursor":%d,"cmds":[]}' % resume
        told = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        asyncio.get_running_loop().call_later(block / 1000, self.transport.write, told)  # type: ignore[attr-defined]


class Client(asyncio.Protocol):
    """One connection of a web server: counts the ends of requests, and bytes."""

    def __init__(self) -> None:
        self.buffer, self.ends, self.bytes, self.skip, self.last = bytearray(), 0, 0, 0, 0
        self.served, self.fresh, self.lost = 0, 0, False
        self.again, self.size = 0, 0  # to ask at the ends of others, and for how much

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, _: Exception | None) -> None:
        self.lost = True

    def ask(self, size: int) -> None:
        if self.lost:
            raise ConnectionError("the router ended a client's connection")
        self.fresh = self.fresh % 60_000 + 1
        params = {"SCRIPT_NAME": "/do/files", "HTTP_X_TXN": f"{random.getrandbits(64):016x}"}
        params["HTTP_X_ROW"] = f"{size // NAMED:08x}{random.getrandbits(32):08x}"
        params |= {"HTTP_X_TTL_MS": f"{MOST_MS}", "HTTP_X_WORKING_SET_KB": f"{size / 1_000}"}
        self.transport.write(encode_fastcgi_request(self.fresh, params))  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        self.buffer += data
        while True:
            if len(self.buffer) < HEAD:
                return
            length = HEAD + int.from_bytes(self.buffer[4:6], "big") + self.buffer[6]
            if len(self.buffer) < length:
                return
            ended = self.buffer[1] == END
            self.served += self.buffer[HEAD : HEAD + 11] == b"Status: 200"
            del self.buffer[:length]
            self.ends += ended
            if ended and self.again:
                self.again -= 1
                self.ask(self.size)


def config_of(listen: str, channel: str, shelf: str) -> dict[str, object]:
    kinds = ["box"] * (LISTED - PARENTS - 1) + ["upper"] * PARENTS + ["root"]
    hosts = [
        {"host": f"s{n}", "class": kind, "dial": shelf, "health": "active", "share": 4}
        | {"site": "z1" if n < OWN else "hub"}
        for n, kind in enumerate(kinds)
    ]
    known = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"whole": True, "hosts": hosts}}]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    return CONFIG | {"listen": listen, "channel": channel, "known": known, "limits": limits}


@dataclass(frozen=True, slots=True)
class Stretch:
    """Seconds that it took, processor seconds of the router in it, requests asked and served."""

    took: float
    used: float
    asked: int
    served: int

    @property
    def each_us(self) -> float:
        return self.used / max(self.served, 1) * 1e6


class Bench:
    """The router, its surroundings, and the clients."""

    def __init__(self, router: subprocess.Popen[bytes], clients: list[Client]) -> None:
        self.router, self.clients = router, clients

    def used_s(self) -> float:
        """Processor time of the router so far, all its threads."""
        tasks = Path(f"/proc/{self.router.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9

    def resident_mb(self) -> float:
        text = Path(f"/proc/{self.router.pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) / 1_024

    def served(self) -> tuple[int, int]:
        """Requests ended, and of these served."""
        return sum(one.ends for one in self.clients), sum(one.served for one in self.clients)

    async def asked_at(self, rate: float, size: int, seconds: float) -> Stretch:
        """Open loop: asked at an even rate, whatever is answered."""
        begun, used, before, asked = time.monotonic(), self.used_s(), self.served(), 0
        while (now := time.monotonic() - begun) < seconds:
            while asked < now * rate:
                self.clients[asked % len(self.clients)].ask(size)
                asked += 1
            await asyncio.sleep(0.002)
        return await self.ended(begun, used, before, asked)

    async def kept_open(self, count: int, size: int, requests: int) -> Stretch:
        """Closed loop: so many open at once, until so many have been asked."""
        begun, used, before = time.monotonic(), self.used_s(), self.served()
        clients = self.clients[: min(count, len(self.clients))]
        each = max(requests - count, 0) // len(clients)
        for client in clients:
            client.size, client.again = size, each
        for number in range(count):
            clients[number % len(clients)].ask(size)
        return await self.ended(begun, used, before, count + each * len(clients))

    async def paced(self, count: int, size: int, requests: int) -> Stretch:
        """The same in bursts, each followed by as long a rest, so that the core is half used at most and the
        router's own admission refuses nothing."""
        stretches = []
        for _ in range(requests // BURST):
            stretches.append(await self.kept_open(count, size, BURST))
            await asyncio.sleep(stretches[-1].took)
        sums = (sum(parts) for parts in zip(*map(astuple, stretches), strict=True))
        return Stretch(*sums)

    async def ended(self, begun: float, used: float, before: tuple[int, int], asked: int) -> Stretch:
        until = time.monotonic() + STRETCH_S
        while self.served()[0] - before[0] < asked and time.monotonic() < until:
            await asyncio.sleep(0.005)
        served = self.served()[1] - before[1]
        return Stretch(time.monotonic() - begun, self.used_s() - used, asked, served)


async def start(folder: Path) -> tuple[Bench, list[subprocess.Popen[bytes]]]:
    loop = asyncio.get_running_loop()
    command = [sys.executable, __file__]
    pipe = subprocess.PIPE
    shelf = subprocess.Popen(command, stdin=pipe, stdout=pipe, preexec_fn=die_with_parent, cwd=ROOT)
    assert shelf.stdout is not None
    port = int(await loop.run_in_executor(None, shelf.stdout.readline))
    channel = await loop.create_server(Discovery, "127.0.0.1", 0)
    free = await loop.create_server(Client, "127.0.0.1", 0)
    listen = free.sockets[0].getsockname()[1]
    free.close()
    told = config_of(
        f"127.0.0.1:{listen}", f"127.0.0.1:{channel.sockets[0].getsockname()[1]}", f"127.0.0.1:{port}"
    )
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    env, log = os.environ | {"PROXY_CONFIG": str(path)}, (folder / "log").open("wb")
    command = [sys.executable, "-m", "thornjunction"]
    router = subprocess.Popen(command, env=env, cwd=ROOT, stderr=log, preexec_fn=die_with_parent)
    clients: list[Client] = []
    end = loop.time() + 20
    while len(clients) < LINKS:
        try:
            clients.append((await loop.create_connection(Client, "127.0.0.1", listen))[1])
        except ConnectionRefusedError:
            if loop.time() > end:
                raise
            await asyncio.sleep(0.05)
    return Bench(router, clients), [router, shelf]


if __name__ == "__main__":
    asyncio.run(serve_shelf())
