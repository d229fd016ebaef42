"""What an hour behind (122,400 events) costs a relay: a real one before a stand-in discovery, 440 shelfs
listed, its way to discovery cut meanwhile, and one router's polls.

``PYTHONPATH=. python benchmarks/relay_behind.py [ROUNDS]`` prints a Markdown table, a row a round (default
3): time from the way's return until the router has the last purge, processor time of that, peak memory
before and after, the longest turn of the reactor and the most processor time of one, all in one process.
Loopback only; each round is under 60 s."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from control_harness.environment import Environment
from control_harness.participants import RelayParticipant
from control_harness.poller import Poller

from benchmarks.catch_up import BEHIND, LAUNCH, LONG_TURN_S
from benchmarks.relay_load import memory_mb, ready, used_ms

SHELFS, FIRST = 440, 1000


class TimedRelay(RelayParticipant):
    """Keeps the turns of its reactor, which it prints at its end."""

    def start(self) -> None:
        extras = f"Path({str(self.folder / 'extras.toml')!r})"
        code = LAUNCH.replace("LONG", str(LONG_TURN_S))
        code = code.replace("(os.environ)", f"(os.environ, {extras})")
        command = [sys.executable, "-c", "from pathlib import Path" + code]
        with (self.folder / "log").open("ab") as log:
            self._popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)

    def end(self) -> list[list[float]]:
        """Its turns: when, wall and processor seconds."""
        assert self._popen is not None
        self._popen.terminate()
        try:
            told, _ = self._popen.communicate(timeout=10)
        finally:
            self._popen.kill()
        return list(json.loads(told))


async def one_round(folder: Path) -> str:
    """A row of the table."""
    line = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}
    async with Environment(folder) as rig:
        await rig.discovery.publish_hosts([line | {"host": f"s{number}"} for number in range(SHELFS)], True)
        way = await rig.start_proxy(rig.discovery.address)
        relay = TimedRelay(folder, "relay")
        relay.configure([way.address], join_ms=150)
        relay.start()
        try:
            await rig.wait_until(lambda: ready(relay), "the relay is ready")
            poller = Poller(relay.listen_address, "router")
            polling = asyncio.create_task(poller.run())
            await rig.discovery.publish_purges(1)
            while 1 not in poller.purged_objects:
                await asyncio.sleep(0.01)
            way.block()
            ages_ms = [3_600_000.0 * (BEHIND - number) / BEHIND for number in range(1, BEHIND + 1)]
            await rig.discovery.publish_purges(*range(FIRST, FIRST + BEHIND), ages_ms=ages_ms)
            before, used, start = memory_mb(relay.pid), used_ms(relay.pid), time.monotonic()
            way.unblock()
            while poller.purged_objects[-1] != FIRST + BEHIND - 1:
                assert time.monotonic() < start + 60.0, "not in step"
                await asyncio.sleep(0.005)
            end, after = time.monotonic(), memory_mb(relay.pid)
            used = used_ms(relay.pid) - used
            polling.cancel()
        finally:
            turns = [(wall, cpu) for at, wall, cpu in relay.end() if at >= start]
    longest, dearest = max(wall for wall, _ in turns), max(cpu for _, cpu in turns)
    cells = f"{end - start:.2f} | {used:.0f} | {before:.1f} | {after:.1f}"
    return f"| {cells} | {longest * 1000:.1f} | {dearest * 1000:.1f} |"


async def main(rounds: int) -> None:
    print(
        "| in step after s | processor ms | peak MB before | after | longest turn ms | processor ms of one |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for _ in range(rounds):
        with tempfile.TemporaryDirectory() as name:
            print(await one_round(Path(name)), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
