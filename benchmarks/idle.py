"""What an idle ``run`` costs against another commit's, in one run: both trees' routers side by side, each
with a stand-in discovery of its own, in turns of who starts first.

``PYTHONPATH=. python benchmarks/idle.py [COMMIT] [ROUNDS] [SECONDS]``, with the development packages, prints
a table of memory (proportional set size) and processor time (user and system) of each, and their ratio.  A
round lasts SECONDS (default 20) with nothing but idle polls, after 3 s for the start.  Loopback only; ends
its processes."""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from control_harness.fake_discovery import FakeDiscovery
from control_harness.participants import free_addresses
from fakes.config import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
SETTLE_S = 3.0
SHELFS = 440


def tree_of(commit: str, folder: Path) -> Path:
    """The commit's files."""
    folder.mkdir()
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=True).stdout
    subprocess.run(["tar", "-x"], cwd=folder, input=archive, check=True)
    return folder


def start(tree: Path, folder: Path, channel: str) -> subprocess.Popen[bytes]:
    """A router of that tree, as the deploy file starts it."""
    front, door = free_addresses(2)
    told = {"name": "idle", "listen": front, "admin_addr": door, "channel": channel, "settings": SETTINGS}
    told |= {"limits": {"sockets": 90}, "known": {"cursor": 0, "cmds": []}}
    config = folder / f"{os.urandom(4).hex()}.json"
    config.write_text(json.dumps(told))
    env = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
    env["PROXY_CONFIG"] = str(config)
    command = [sys.executable, "-m", "thornjunction"]
    return subprocess.Popen(command, cwd=tree, env=env, stderr=subprocess.DEVNULL)


def memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) / 1024.0
    raise RuntimeError("no such figure")


def used_ms(pid: int) -> float:
    """By the scheduler's own count, which is finer than a tick."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


async def one_round(trees: list[Path], folder: Path, seconds: float) -> list[tuple[float, float]]:
    """Memory in MB and processor time in ms of each."""
    discoveries = [FakeDiscovery() for _ in trees]
    running: list[subprocess.Popen[bytes]] = []
    line = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}
    try:
        for tree, discovery in zip(trees, discoveries, strict=True):
            await discovery.publish_hosts(
                [line | {"host": f"s{number}"} for number in range(SHELFS)], complete=True
            )
            await discovery.start()
            running.append(start(tree, folder, discovery.address))
        await asyncio.sleep(SETTLE_S)
        before = [used_ms(one.pid) for one in running]
        await asyncio.sleep(seconds)
        polls = [discovery.poll_count for discovery in discoveries]
        assert min(polls) > seconds / 2, f"no idle polls: {polls}"
        return [(memory_mb(one.pid), used_ms(one.pid) - ms) for one, ms in zip(running, before, strict=True)]
    finally:
        for one in running:
            one.kill()
            one.wait()
        for discovery in discoveries:
            await discovery.stop()


async def main(commit: str, rounds: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        trees = [tree_of(commit, folder / "base"), ROOT]
        told: list[list[tuple[float, float]]] = []
        for number in range(rounds):
            turned = number % 2
            found = await one_round(trees[::-1] if turned else trees, folder, seconds)
            told.append(found[::-1] if turned else found)
    print(f"| {rounds} rounds of {seconds:.0f} s idle | {commit} | this tree | ratio |\n|---|---|---|---|")
    for place, what in enumerate((f"memory, MB ({SHELFS} shelfs)", "processor, ms a second")):
        per = 1.0 if place == 0 else seconds
        base, here = ([found[side][place] / per for found in told] for side in (0, 1))
        ratios = [new / old for old, new in zip(base, here, strict=True)]
        spread = f"{min(ratios):.3f} to {max(ratios):.3f}"
        old, new = statistics.median(base), statistics.median(here)
        print(f"| {what} | {old:.2f} | {new:.2f} | {statistics.median(ratios):.3f} ({spread}) |")


if __name__ == "__main__":
    given = sys.argv[1:] + ["159a7f7", "6", "20"][len(sys.argv) - 1 :]
    asyncio.run(main(given[0], int(given[1]), float(given[2])))
