"""What a whole router costs: a real ``run`` process before stand-in shelfs, on loopback, under a bounded load of
the platform's front; its processor time by requests a second and by KB carried.

    PYTHONPATH=. python benchmarks/capacity_router.py [--seconds S]

440 shelfs are listed, 8 of them of the own site.  The driver (clients, discovery) and the shelfs are processes of
their own, so that only the router's time is counted: the kernel's account of its run time, in user and system.
Each row is one stretch of S seconds at an even rate.  Loopback moves bytes by the processor alone: a network
card's interrupts and checksums are not in it, nor what it takes over."""

from __future__ import annotations

import argparse
import asyncio
import ctypes
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from capacity_fit import Line, fit, row, table

from tests.test_core import CONFIG
from thornjunction.demo.clients import fastcgi_request
from thornjunction.net.wire.resp import ArrayReader, encode_array

ROOT = Path(__file__).resolve().parent.parent
SIZES = (1_000, 16_000, 64_000, 240_000)  # bytes of an answer; the platform's largest is the last
RATES = (100, 200, 300, 400)  # requests a second, of each size
NAMED = 1_000  # of an answer's bytes: the object's name says how many of these the shelf sends
LINKS, MOST_MS = 12, 4_000  # of the clients; for which they wait
OWN, LISTED, PARENTS = 8, 440, 6
NEEDED_RATE, NEEDED_BYTES = 742, 3.4e12 / 8 / 1_200  # of a router: requests, and bytes, a second
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
        self.transport.write(fastcgi_request(self.fresh, params))  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        self.buffer += data
        while True:
            if len(self.buffer) < HEAD:
                return
            length = HEAD + int.from_bytes(self.buffer[4:6], "big") + self.buffer[6]
            if len(self.buffer) < length:
                return
            self.ends += self.buffer[1] == END
            self.served += self.buffer[HEAD : HEAD + 11] == b"Status: 200"
            del self.buffer[:length]


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

    async def stretch(self, rate: float, size: int, seconds: float) -> tuple[float, float, float, int]:
        """Share of a core, served requests a second, MB a second, and how many were not served."""
        begun, used, before = time.monotonic(), self.used_s(), self.served()
        loop, asked = asyncio.get_running_loop(), 0
        while (now := time.monotonic() - begun) < seconds:
            while asked < now * rate:
                self.clients[asked % len(self.clients)].ask(size)
                asked += 1
            await asyncio.sleep(0.002)
        until = loop.time() + MOST_MS / 1_000
        while self.served()[0] - before[0] < asked and loop.time() < until:
            await asyncio.sleep(0.01)
        took, served = time.monotonic() - begun, self.served()[1] - before[1]
        return (self.used_s() - used) / took, served / took, served * size / took / 1e6, asked - served


async def start(folder: Path) -> tuple[Bench, list[subprocess.Popen[bytes]]]:
    loop = asyncio.get_running_loop()
    command = [sys.executable, __file__, "--shelf"]
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


def slopes(found: dict[int, list[tuple[float, float]]]) -> None:
    """By requests a second for each size, and from these by the KB of a request."""
    lines: dict[int, Line] = {size: fit(points) for size, points in found.items()}
    rows = [
        row(
            f"{size / 1_000:.0f}",
            f"{line.slope * 1e6:.0f} ± {line.slope_error * 1e6:.0f}",
            f"{line.start:.2%} ± {line.start_error:.2%}",
            f"{line.share:.4f}",
            f"{1 / line.slope:,.0f}",
            f"{size * 8 / line.slope / 1e6:,.0f}",
        )
        for size, line in lines.items()
    ]
    head = "KB an answer | us of processor a request | at no request | R² "
    print(table(head + "| requests a s of a whole core | Mbit/s of a whole core", rows))
    line = fit([(size / 1_000, line.slope * 1e6) for size, line in lines.items()])
    print(f"\nfit: {line.text('us', 'a KB')}")
    kb = NEEDED_BYTES / NEEDED_RATE / 1_000
    whole = (line.at(0) * NEEDED_RATE + line.slope * NEEDED_RATE * kb) / 1e6
    print(f"worked out for {NEEDED_RATE} requests a s of {kb:.0f} KB: {whole:.2f} cores")
    print(
        f"{NEEDED_RATE} requests a s alone, without their bytes: {line.at(0) * NEEDED_RATE / 1e6:.2f} cores\n"
    )


async def measure(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        bench, children = await start(Path(folder))
        try:
            await bench.stretch(50, SIZES[0], 1.0)
            print(f"memory after the start, 440 listed: {bench.resident_mb():.1f} MB\n")
            found: dict[int, list[tuple[float, float]]] = {size: [] for size in SIZES}
            rows = []
            for rate in RATES:
                for size in SIZES:
                    share, done, mb, lost = await bench.stretch(rate, size, seconds)
                    found[size].append((done, share))
                    rows.append(
                        row(f"{size / 1e3:.0f}", f"{done:.0f}", f"{mb * 8:,.0f}", f"{share:.1%}", lost)
                    )
            print(table("KB an answer | requests a s | Mbit/s | of a core | not served", rows) + "\n")
            slopes(found)
            print(f"memory after it: {bench.resident_mb():.1f} MB\n")
            await full(bench, found, seconds)
        finally:
            for child in children:
                child.kill()
                child.wait()


async def full(bench: Bench, found: dict[int, list[tuple[float, float]]], seconds: float) -> None:
    """What one core really takes of the largest answers: asked for more and more, up to a whole core."""
    line, size, rows = fit(found[SIZES[-1]]), SIZES[-1], []
    for part in (0.6, 0.75, 0.9, 1.05):
        share, done, mb, lost = await bench.stretch(part / line.slope, size, seconds)
        rows.append(
            row(f"{part / line.slope:.0f}", f"{done:.0f}", f"{mb * 8:,.0f}", f"{share:.1%}", f"{lost}")
        )
    print(table("asked a s, 240 KB | served a s | Mbit/s | of a core | not served", rows))
    print(f"\nneeded of a router: {NEEDED_RATE} a s, {NEEDED_BYTES * 8 / 1e6:,.0f} Mbit/s\n")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--shelf", action="store_true")
    args = parser.parse_args()
    asyncio.run(serve_shelf() if args.shelf else measure(args.seconds))


if __name__ == "__main__":
    main()
