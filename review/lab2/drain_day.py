"""The day of the cases with a drain: one of three cache servers drains while discovery is in trouble."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from lab import SLACK_MS, Client, Discovery, Record, Router, Shelf, is_disrupted, require, settings

# Time after which an event counts as told, whether it arrived or not.
TOLD_AFTER_MS = 7000.0

# The rule's grace, from the settings.
GRACE_MS = 500.0

# Time between two requests.
REQUEST_EVERY_S = 0.05


async def ask(client: Client, number: int) -> None:
    """Send one request for an object of its own."""
    await client.request("readings", f"{number:016x}", 2500.0, X_WORKING_SET_KB="10")


async def play(
    record: Record, folder: Path, disrupt: Callable[[Record, Discovery], None], play_s: float
) -> list[str]:
    """Start everything, and play the day; ``disrupt`` begins the trouble of discovery."""
    shelfs = [Shelf(record, f"cache-{number}", "box", is_logged=False) for number in range(3)]
    shelfs.append(Shelf(record, "origin", "root", "north-hub", is_logged=False))
    discovery = Discovery(record)
    await discovery.start()
    for shelf in shelfs:
        await shelf.start()
    discovery.publish(nodes={"seq": 1, "whole": True, "hosts": [shelf.host() for shelf in shelfs]})
    router = Router(record, folder)
    router.configure(discovery, settings())
    try:
        router.start()
        await router.require_ready()
        client = Client(record, router.listen_port)
        await client.connect()
        await asyncio.gather(*(ask(client, number) for number in range(30)))
        require(shelfs[0].wants, "the cache server got no request before the drain")
        if is_disrupted():
            disrupt(record, discovery)
        await asyncio.sleep(0.2)
        return await drain(record, discovery, client, shelfs[0], play_s)
    finally:
        await router.end()


async def drain(
    record: Record, discovery: Discovery, client: Client, leaving: Shelf, play_s: float
) -> list[str]:
    """Drain a cache server and go on with requests; return what it got too late."""
    hosts = [leaving.host("leaving")]
    published_ms = discovery.publish(nodes={"seq": 2, "whole": False, "hosts": hosts})
    tasks = []
    for number in range(round(play_s / REQUEST_EVERY_S)):
        tasks.append(asyncio.create_task(ask(client, 1000 + number)))
        await asyncio.sleep(REQUEST_EVERY_S)
    await asyncio.gather(*tasks)
    for want in leaving.wants:
        record.add(leaving.name, f"got {want.txn} {want.at_ms - published_ms:.0f} ms after the drain")
    limit_ms = published_ms + TOLD_AFTER_MS + GRACE_MS + SLACK_MS
    late = [want for want in leaving.wants if want.at_ms > limit_ms]
    if not late:
        return []
    last_ms = late[-1].at_ms - published_ms
    return [f"{leaving.name} got {len(late)} requests too late, the last {last_ms:.0f} ms after the drain"]
