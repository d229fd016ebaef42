"""Slow clients: every request that the router has taken gets a whole answer."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))

from lab import (
    HOST,
    Client,
    Discovery,
    Record,
    Reply,
    Router,
    Shelf,
    is_disrupted,
    run_case,
    settings,
)

# The router's memory; the pages give 32 to 192 MB.
MEMORY_MB = 64

# Bytes that a slow client reads a second, and those that its system keeps for it.
READ_BYTES_PER_S = 1_000_000
RECEIVE_BUFFER_BYTES = 65_536

# The connections, the requests that each has open at once, and the bytes of each object.
CONNECTIONS = 6
OPEN_REQUESTS = 32
OBJECT_BYTES = 240_000

# How long a client waits for an answer.
TTL_MS = 5000.0

# Time between two requests of all clients.
REQUEST_EVERY_S = 0.01


class SlowReader(asyncio.StreamReader):
    """The reader of a client that reads at a limited rate."""

    async def readexactly(self, n: int) -> bytes:
        """Read bytes, and wait as long as they take at the rate."""
        data = await super().readexactly(n)
        if is_disrupted():
            await asyncio.sleep(n / READ_BYTES_PER_S)
        return data


class SlowClient(Client):
    """A client's connection that is read slowly; its system keeps few bytes."""

    async def connect(self) -> None:
        """Connect to the router."""
        plain = socket.socket()
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        plain.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(plain, (HOST, self._port))
        reader = SlowReader(limit=RECEIVE_BUFFER_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda: protocol, sock=plain)
        self.writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        self.is_open = True
        self._reading = asyncio.create_task(self._read(reader))


async def ask(record: Record, client: Client, number: int) -> Reply:
    """Send one request, and wait for its end without a limit, as the time that reading takes is uncounted."""
    client.extra_wait_s = 60.0
    reply = await client.request("clips", f"{number:016x}", TTL_MS, X_WORKING_SET_KB="640")
    took_ms = reply.ended_ms - reply.sent_ms
    detail = f"{len(reply.body)} bytes, {reply.detail!r}"
    record.add("client", f"request {number}: status {reply.status} after {took_ms:.0f} ms, {detail}")
    return reply


async def play(record: Record, folder: Path) -> list[str]:
    """Let slow clients keep their connections full of requests, and list the requests without an answer."""
    shelfs = [
        Shelf(record, f"cache-{number}", "box", body_bytes=OBJECT_BYTES, is_logged=False)
        for number in range(3)
    ]
    shelfs.append(Shelf(record, "origin", "root", "north-hub", body_bytes=OBJECT_BYTES, is_logged=False))
    discovery = Discovery(record)
    await discovery.start()
    for shelf in shelfs:
        await shelf.start()
    discovery.publish(nodes={"seq": 1, "whole": True, "hosts": [shelf.host() for shelf in shelfs]})
    router = Router(record, folder)
    router.memory_mb = MEMORY_MB
    router.configure(discovery, settings())
    try:
        router.start()
        await router.require_ready()
        replies = await send(record, router)
    finally:
        for line in router.log_lines():
            record.add("router", f"log {line}")
        await router.end()
    lost = [reply for reply in replies if reply.status == 0]
    if not lost:
        return []
    return [f"{len(lost)} of {len(replies)} requests got no whole answer: {lost[0].detail}"]


async def send(record: Record, router: Router) -> list[Reply]:
    """Send the requests of all clients."""
    clients: list[Client] = [SlowClient(record, router.listen_port) for _ in range(CONNECTIONS)]
    for client in clients:
        await client.connect()
    tasks = []
    for number in range(CONNECTIONS * OPEN_REQUESTS):
        client = clients[number % CONNECTIONS]
        if client.is_open:  # on a connection that the router has reset nothing more is sent
            tasks.append(asyncio.create_task(ask(record, client, number + 1)))
        await asyncio.sleep(REQUEST_EVERY_S)
    return list(await asyncio.gather(*tasks))


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
