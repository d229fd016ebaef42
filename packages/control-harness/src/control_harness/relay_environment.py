"""The common scene: a discovery, two relays, and routers that have both as their sources, in this order."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from control_harness.fake_cache_server import Shelf
from control_harness.participants import Relay, Rig, Router

Scene = Callable[["Stage"], Awaitable[None]]
Play = Callable[[Scene], None]
WITHIN_S = 60.0  # for a scene
OBJECTS = 12  # that are asked for in a look at who serves


class Stage(Rig):
    """Relay N hears discovery, or the root, through ``ups[N]``, and routers reach it through ``downs[N]``.

    ``shelfs`` is how many are listed, as routers show at their doors; ``purged`` the last object purged."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.relays: list[Relay] = []
        self.routers: list[Router] = []
        self._names = itertools.count(1)
        self.shelfs = self.purged = 0
        self.extra = 0  # pollers beside the routers

    async def open(self, root: bool = False, **more: object) -> None:
        """Start all, and wait until the routers know the list by the first relay.  ``root``: one relay more,
        above the others.  ``more`` goes into the relays' settings."""
        self.edges = [await self.shelf(f"edge{number}") for number in (1, 2)]
        self.origin = await self.shelf("origin", "root")
        await self.discovery.tell_list([one.line() for one in (*self.edges, self.origin)], whole=True)
        self.shelfs = 3
        above = self.discovery.address
        if root:
            self.root = self.relay("root")
            self.root.settle([above])
            self.root.start()
            above = self.root.listen
        self.relays = [self.relay(f"relay-{number}") for number in range(2)]
        self.ups = [await self.link(above) for _ in self.relays]
        self.downs = [await self.link(relay.listen) for relay in self.relays]
        for place, relay in enumerate(self.relays):
            siblings = [other.listen for other in self.relays if other is not relay]
            relay.settle([self.ups[place].address], siblings=siblings, **more)
            relay.start()
        self.routers = [self.router(f"router-{number}") for number in range(2)]
        await self.ready(*self.relays)
        for router in self.routers:
            router.settle([link.address for link in self.downs])
            router.start()
        await self.listed(self.routers)
        await self.moved(self.relays[0])

    async def ready(self, *relays: Relay) -> None:
        """They have a state."""

        async def holds() -> bool:
            return all([await relay.call("check") == ["ACK"] for relay in relays])

        await self.until(holds, "relays are ready")

    async def listed(self, routers: Sequence[Router]) -> None:
        """They have as many shelfs as are listed."""

        async def holds() -> bool:
            told = await asyncio.gather(*(router.figures() for router in routers))
            return all(figures.get("registry_entries") == self.shelfs for figures in told)

        await self.until(holds, f"{[router.name for router in routers]} know {self.shelfs} shelfs")

    async def news(self) -> None:
        """One shelf more, which serves nothing, and a purge."""
        self.shelfs += 1
        self.purged = next(self._names)
        line = self.origin.line("leaving") | {"host": f"more-{self.shelfs}", "class": "box"}
        await self.discovery.tell_list([line])
        await self.discovery.purge(self.purged)

    async def known(self, *relays: Relay) -> None:
        """The last news at all routers: by their own doors; and by these relays', which serve all of them."""
        await self.listed(self.routers)

        async def holds() -> bool:
            present = 0
            for relay in relays:
                if " done " not in await self.standing(relay):
                    return False
                present += int((await relay.status())["present"])
            return present == len(self.routers) + self.extra

        await self.until(holds, f"purge {self.purged} is done at {[relay.name for relay in relays]}")

    async def standing(self, relay: Relay) -> str:
        """How the last purge stands at this relay, as its door words it; empty: it is not known there."""
        told = f" {self.purged:016x} "
        return next((line for line in await relay.purges() if told in line), "")

    async def moved(self, relay: Relay) -> None:
        """All routers poll this relay."""

        async def holds() -> bool:
            return (await relay.status()).get("present") == str(len(self.routers))

        await self.until(holds, f"all routers poll {relay.name}")

    async def drain(self) -> None:
        """The first edge is told as leaving; all routers, which used both, use the other one."""
        self.drained, other = self.edges
        await self.served_by(*self.edges)
        await self.discovery.tell_list([self.drained.line("leaving")])
        await self.served_by(other)

    async def served_by(self, *shelves: Shelf) -> None:
        """All routers' requests go to these, each of which has some."""

        async def holds() -> bool:
            return await self.servers() == {shelf.name for shelf in shelves}

        await self.until(holds, f"requests go to {[shelf.name for shelf in shelves]}")

    async def servers(self) -> set[str]:
        """Who serves requests now, of all routers together."""
        asking = [router.get(name) for router in self.routers for name in range(OBJECTS)]
        return set(await asyncio.gather(*asking))

    async def obeyed(self) -> None:
        """No request goes to the drained edge; every one is served."""
        wants = self.drained.wants
        served = await self.servers()
        assert served == {edge.name for edge in self.edges if edge is not self.drained}, served
        assert self.drained.wants == wants


def play(folder: Path, scene: Scene) -> None:
    """Plays a scene, and ends its processes whatever happens."""

    async def whole() -> None:
        async with asyncio.timeout(WITHIN_S), Stage(folder) as stage:
            await scene(stage)

    asyncio.run(whole())
