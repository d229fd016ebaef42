"""A keyed request whose tries go to both processes of a router that is being replaced."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from standins.fastcgi import Answer, FastCgiClient
from standins.platform import LOOPBACK, Platform, free_port, has_trouble, play, require
from standins.record import Record
from standins.shelf import Reply, Want

# The figures of the class ``alerts``: window of repeats, and the slack that each time limit has on sockets.
WINDOW_S = 6.0
SLACK_S = 0.05

# When the client sends its three tries, and for how long it waits for each: 90 to 100% of 3 s.  The third
# begins within the window of the first, as the page has it.
TRIES = ((0.0, 2.9), (3.1, 2.75), (5.9, 3.0))

# How long the origin needs for the request; it has the effect at once.
WORK_S = 10.0
# How long a request waits at the full origin until it is turned away.
FULL_AFTER_S = 0.2


@dataclass
class Send:
    """One request that has come to the origin."""

    at_s: float
    effect: str


class Origin:
    """The origin: slow, drops repeats of a key for 6 s, and is full for one moment."""

    def __init__(self, record: Record) -> None:
        self.sends: list[Send] = []
        self.is_full = False
        self._record = record
        self._applied_at_s: dict[str, float] = {}

    async def handle(self, want: Want) -> Reply | None:
        """Handle a request of any server; only the origin gets any."""
        now_s = time.monotonic()
        key = want.fields.get("replay", "")
        effect = self._effect(key, now_s)
        self.sends.append(Send(now_s, effect))
        self._record.write("run", server=want.server, id=want.request_id, key=key[:6], effect=effect)
        if effect == "turned away":
            self.is_full = False
            await asyncio.sleep(FULL_AFTER_S)
            self._record.write("answer", server=want.server, id=want.request_id, word="WAIT")
            return Reply("WAIT")
        await asyncio.sleep(WORK_S)
        return Reply("DONE", f"rev=t1,since={time.time() * 1000:.0f}", b"ok")

    def _effect(self, key: str, now_s: float) -> str:
        if self.is_full:
            return "turned away"
        if now_s - self._applied_at_s.get(key, -WINDOW_S) < WINDOW_S:
            return "repeat dropped"
        self._applied_at_s[key] = now_s
        return "applied"


class Tries:
    """The tries of one client request."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._record = platform.record
        self._key = secrets.token_hex(16)

    async def send(self, number: int, wait_s: float) -> Answer | None:
        """Send a try on a new connection, and wait for its answer; None if the client gave it up."""
        client = await FastCgiClient.connect(self._platform.listen)
        params = {
            "SCRIPT_NAME": "/do/alerts",
            "HTTP_X_TXN": secrets.token_hex(8),
            "HTTP_X_TTL_MS": str(round(wait_s * 1000)),
            "HTTP_X_TXN_KEY": self._key,
            "HTTP_X_ROW": "7f3a9c21e0b4d655",
            "HTTP_X_GROUP": "17",
            "HTTP_X_WORKING_SET_KB": "20",
        }
        request_id, future = client.send(params)
        self._record.write("send", attempt=number, id=params["HTTP_X_TXN"], ttl_ms=params["HTTP_X_TTL_MS"])
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), wait_s)
        except TimeoutError:
            client.abort(request_id)
            self._record.write("give up", attempt=number)
            return None
        finally:
            asyncio.get_running_loop().call_later(0.5, client.close)
        self._record.write("answered", attempt=number, status=answer.status, outcome=answer.outcome)
        return answer


async def replace_process(platform: Platform) -> None:
    """Replace the process while it serves, as the page describes."""
    old = platform.processes[0]
    admin = (LOOPBACK, free_port())
    new = await platform.run("new", PROXY_ADMIN_ADDR=f"{LOOPBACK}:{admin[1]}")
    require(await platform.says_yes_within(admin, new, 2.5), "the new process was not ready in time")
    old.signal(signal.SIGTERM)


async def case(platform: Platform) -> bool:
    """Send one keyed request in three tries; return whether all its sends were within the window."""
    origin = Origin(platform.record)
    await platform.start(origin.handle)
    platform.hold_listening_socket()
    admin = f"{LOOPBACK}:{free_port()}"
    await platform.run("old", PROXY_ADMIN_ADDR=admin)
    require(await platform.is_ready_within(10.0), "the router was not ready in time")
    tries = Tries(platform)
    began_s = time.monotonic()
    replacing: asyncio.Task[None] | None = None
    for number, (at_s, wait_s) in enumerate(TRIES, start=1):
        await asyncio.sleep(max(began_s + at_s - time.monotonic(), 0.0))
        origin.is_full = number == len(TRIES)
        answering = asyncio.create_task(tries.send(number, wait_s))
        if number == 1 and has_trouble():
            await asyncio.sleep(0.1)
            replacing = asyncio.create_task(replace_process(platform))
        answer = await answering
        if replacing is not None:
            await replacing
        require(answer is None or answer.outcome != "served", "the client was served early")
    applied = [send for send in origin.sends if send.effect == "applied"]
    require(applied, "the request did not come to the origin")
    late = [send for send in origin.sends if send.at_s - applied[0].at_s > WINDOW_S + SLACK_S]
    for send in late:
        after_ms = round((send.at_s - applied[0].at_s) * 1000)
        platform.record.write("late send", after_ms=after_ms, effect=repr(send.effect))
    platform.record.write("effects", applied=len(applied), late_sends=len(late))
    return not late and len(applied) == 1


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
