"""A router that is paused for 2.5 s while an object is purged and clients ask for it."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from standins.fastcgi import FastCgiClient
from standins.platform import Platform, has_trouble, play, require
from standins.record import Record
from standins.shelf import Reply, Want

# The settings: from when a purge that was told binds (with the slack of sockets), and by when all copies go.
BINDS_AFTER_MS = 1050.0
GONE_AFTER_S = 6.0

# When, after the router is paused: the purge, the clients' requests, and the end of the pause.
PURGED_S = 0.1
REQUESTED_S = 2.3
CONTINUED_S = 2.5

OBJECT = "7f3a9c21e0b4d655"
GROUP = 17
CONNECTIONS = 3
# Age of the copies that the boxes hold at the start.
COPY_AGE_MS = 30_000.0


def unix_ms() -> float:
    """Return the system's Unix clock in ms."""
    return time.time() * 1000.0


@dataclass
class Served:
    """One answer of a box: when the request came, and when the origin gave out the copy (Unix ms)."""

    arrived_ms: float
    copy_ms: float


class Boxes:
    """Boxes that hold the object, drop its old copy 6 s after a purge, and fill a miss from the origin."""

    def __init__(self, record: Record) -> None:
        self.purged_ms: float | None = None
        self.served: list[Served] = []
        self._record = record
        self._copy_ms: dict[str, float] = {}
        self._oldest_ms = unix_ms() - COPY_AGE_MS

    async def handle(self, want: Want) -> Reply | None:
        """Answer from the copy at the box if it is young enough, else from a new one of the origin."""
        now_ms = unix_ms()
        limit_ms = float(want.fields.get("cap", "0"))
        copy_ms = self._copy_ms.get(want.server, self._oldest_ms)
        if self.purged_ms is not None and now_ms > self.purged_ms + GONE_AFTER_S * 1000.0:
            copy_ms = max(copy_ms, self.purged_ms)
        if limit_ms and now_ms - copy_ms > limit_ms:
            if "up" not in want.fields:
                return Reply("LACK")
            copy_ms = now_ms
        self._copy_ms[want.server] = copy_ms
        self.served.append(Served(now_ms, copy_ms))
        cap = want.fields.get("cap", "-")
        self._record.write("run", server=want.server, id=want.request_id, cap=cap, copy=f"{copy_ms:.0f}")
        return Reply("DONE", f"rev=t{copy_ms:.0f},since={copy_ms:.0f}", b"chart")


class Clients:
    """Clients of the front with open connections."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._record = platform.record
        self._connections: list[FastCgiClient] = []

    async def connect(self) -> None:
        """Open the connections."""
        for _ in range(CONNECTIONS):
            self._connections.append(await FastCgiClient.connect(self._platform.listen))

    async def ask(self) -> None:
        """Ask for the object once on each connection, and wait for all answers."""
        answers = []
        for client in self._connections:
            params = {
                "SCRIPT_NAME": "/do/clips",
                "HTTP_X_TXN": secrets.token_hex(8),
                "HTTP_X_TTL_MS": "5000",
                "HTTP_X_ROW": OBJECT,
                "HTTP_X_GROUP": str(GROUP),
                "HTTP_X_WORKING_SET_KB": "412.5",
            }
            self._record.write("send", id=params["HTTP_X_TXN"])
            answers.append(client.send(params)[1])
        for answer in await asyncio.wait_for(asyncio.gather(*answers), 6.0):
            self._record.write("answered", status=answer.status, outcome=answer.outcome)


async def purge_while_paused(platform: Platform, boxes: Boxes, clients: Clients) -> None:
    """Pause the router during a poll, purge the object, ask for it, and continue the router."""
    router = platform.processes[0]
    platform.discovery.poll_arrived.clear()
    await asyncio.wait_for(platform.discovery.poll_arrived.wait(), 5.0)
    if has_trouble():
        router.signal(signal.SIGSTOP)
    began_s = time.monotonic()
    await asyncio.sleep(PURGED_S)
    boxes.purged_ms = unix_ms()
    platform.discovery.publish(drop={"id": OBJECT, "when": round(boxes.purged_ms)})
    platform.record.write("purge", object=OBJECT, when=round(boxes.purged_ms))
    await asyncio.sleep(began_s + REQUESTED_S - time.monotonic())
    asking = asyncio.create_task(clients.ask())
    await asyncio.sleep(began_s + CONTINUED_S - time.monotonic())
    if has_trouble():
        router.signal(signal.SIGCONT)
    await asking


async def case(platform: Platform) -> bool:
    """Return whether no request that began 1 s after the purge was told was answered from an older copy."""
    boxes = Boxes(platform.record)
    await platform.start(boxes.handle)
    await platform.run("router")
    require(await platform.is_ready_within(10.0), "the router was not ready in time")
    clients = Clients(platform)
    await clients.connect()
    await clients.ask()
    before = len(boxes.served)
    require(before, "no request came to a box")
    await purge_while_paused(platform, boxes, clients)
    after = boxes.served[before:]
    require(after, "no request came to a box after the purge")
    purged_ms = boxes.purged_ms or 0.0
    broken = [s for s in after if s.arrived_ms > purged_ms + BINDS_AFTER_MS and s.copy_ms < purged_ms]
    for served in broken:
        platform.record.write(
            "old copy",
            sent_after_ms=round(served.arrived_ms - purged_ms),
            older_by_ms=round(purged_ms - served.copy_ms),
        )
    platform.record.write("answers", after_purge=len(after), from_older_copies=len(broken))
    return not broken


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
