"""A new configuration that lacks a key of a request class, and keyed requests after it."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

from standins.fastcgi import FastCgiClient
from standins.platform import LOOPBACK, Platform, ask_admin, free_port, has_trouble, play, require
from standins.record import Record
from standins.settings import SERVERS
from standins.shelf import Reply, Want

# The class, which the settings of this run make keyed, with repeats dropped by the shelfs of one cell.
CLASS_NAME = "readings"
WINDOW_S = 6.0
CELLS = {name: cell for name, _, _, cell in SERVERS}

REQUESTS = 60
INTERVAL_S = 0.03
# The shelf that runs it first answers each fifth request with an error, also when it comes again.
ERROR_EVERY = 5
TTL_MS = 2500
# The page: clients use what a new configuration brings 1.2 s later.
SETTLED_S = 1.2


class Shelves:
    """Shelfs that run a keyed request at once, and drop its repeats in their own cell."""

    def __init__(self, record: Record) -> None:
        # The cells in which each request has run, by key.
        self.applied: dict[str, list[int]] = {}
        self._record = record
        self._seen_at_s: dict[tuple[int, str], float] = {}
        # The shelf that answers a request with errors, by key.
        self._failing: dict[str, str] = {}

    async def handle(self, want: Want) -> Reply:
        """Run a request unless its cell has seen its key within the window; then answer."""
        key = want.fields["replay"]
        cell = CELLS[want.server]
        now_s = time.monotonic()
        is_first = key not in self.applied
        is_repeat = now_s - self._seen_at_s.get((cell, key), -WINDOW_S) < WINDOW_S
        if not is_repeat:
            self._seen_at_s[cell, key] = now_s
            self.applied.setdefault(key, []).append(cell)
        if is_first and len(self.applied) % ERROR_EVERY == 0:
            self._failing[key] = want.server
        word = "BROKE" if self._failing.get(key) == want.server else "DONE"
        effect = "repeat dropped" if is_repeat else "applied"
        if key in self._failing:
            self._record.write(
                "run", server=want.server, cell=cell, key=key[:6], effect=repr(effect), answer=word
            )
        if word == "BROKE":
            return Reply(word)
        return Reply(word, f"rev=t1,since={time.time() * 1000:.0f}", b"ok")


def make_keyed(platform: Platform) -> None:
    """Give the class its effect in the settings."""
    for request_class in platform.settings["classes"]:
        if request_class["name"] == CLASS_NAME:
            request_class |= {"idempotency": "keyed", "group": "cell", "memorySpanMs": WINDOW_S * 1000.0}


async def reload(platform: Platform, admin: tuple[str, int]) -> None:
    """Replace the configuration and send SIGHUP; with the disruption the class lacks its key ``group``."""
    if has_trouble():
        for request_class in platform.settings["classes"]:
            if request_class["name"] == CLASS_NAME:
                del request_class["group"]
    platform.write_config("router")
    platform.record.write("new configuration", lacks="classes[].group" if has_trouble() else "nothing")
    platform.processes[0].signal(signal.SIGHUP)
    await asyncio.sleep(SETTLED_S)
    for line in (await ask_admin(admin, "vars", "--")).splitlines():
        if "cfg_" in line:
            platform.record.write("vars", line=line)


async def send_requests(platform: Platform) -> None:
    """Send the requests on one connection, each under a key of its own, and wait for all answers."""
    client = await FastCgiClient.connect(platform.listen)
    answers = []
    for _ in range(REQUESTS):
        params = {
            "SCRIPT_NAME": f"/do/{CLASS_NAME}",
            "HTTP_X_TXN": secrets.token_hex(8),
            "HTTP_X_TXN_KEY": secrets.token_hex(16),
            "HTTP_X_TTL_MS": str(TTL_MS),
            "HTTP_X_ROW": secrets.token_hex(8),
            "HTTP_X_GROUP": "17",
            "HTTP_X_WORKING_SET_KB": "40",
        }
        answers.append(client.send(params)[1])
        await asyncio.sleep(INTERVAL_S)
    outcomes = [answer.outcome for answer in await asyncio.wait_for(asyncio.gather(*answers), 5.0)]
    counts = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    platform.record.write("answered", **counts)


async def case(platform: Platform) -> bool:
    """Return whether no request ran in two cells."""
    shelves = Shelves(platform.record)
    make_keyed(platform)
    await platform.start(shelves.handle)
    admin = (LOOPBACK, free_port())
    await platform.run("router", PROXY_ADMIN_ADDR=f"{LOOPBACK}:{admin[1]}")
    require(await platform.is_ready_within(10.0), "the router was not ready in time")
    await asyncio.sleep(1.0)  # SIGHUP never comes within the first second
    await reload(platform, admin)
    await send_requests(platform)
    twice = [key for key, cells in shelves.applied.items() if len(cells) > 1]
    platform.record.write("effects", requests=len(shelves.applied), applied_twice=len(twice))
    require(len(shelves.applied) >= ERROR_EVERY, "too few requests came to a shelf")
    return not twice


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
