"""The replacement of a process whose operators' file has a section ``[signed]``."""

from __future__ import annotations

import asyncio
import base64
import json
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from standins.fastcgi import LOST, Answer, FastCgiClient
from standins.platform import (
    LOOPBACK,
    Platform,
    RouterProcess,
    free_port,
    has_trouble,
    play,
    require,
)
from standins.shelf import Reply, Want

# How long clients send while the process is replaced, and how often.
LOAD_S = 5.0
INTERVAL_S = 0.05
# When new connections come after SIGTERM: the page says for 0.2 to 0.4 s.
AFTER_SIGTERM_S = (0.05, 0.1, 0.15, 0.2)
TTL_S = 2.5

EXTRAS = """[signed]
listen = "{listen}"
base = "https://cameras.example"
issuers = ["Reefline"]
audience = "thornjunction"
algorithms = ["HS256"]
sign_with = "k1"
keyset = "jwks.json"
"""


async def answer_at_once(want: Want) -> Reply:
    """Answer any request from a new copy."""
    since_ms = round(time.time() * 1000)
    return Reply("DONE", f"rev=t1,since={since_ms}", want.fields.get("thing", "").encode())


def write_extras(folder: Path) -> Path:
    """Write the operators' file and its key set; return its path."""
    key = base64.urlsafe_b64encode(secrets.token_bytes(32)).rstrip(b"=").decode()
    keys = {"keys": [{"kty": "oct", "kid": "k1", "alg": "HS256", "k": key}]}
    (folder / "jwks.json").write_text(json.dumps(keys), encoding="utf-8")
    path = folder / "extras.toml"
    path.write_text(EXTRAS.format(listen=f"{LOOPBACK}:{free_port()}"), encoding="utf-8")
    return path


class Clients:
    """Clients of the platform's front, each request on a new connection."""

    def __init__(self, platform: Platform) -> None:
        self.outcomes: Counter[str] = Counter()
        self._platform = platform

    async def ask(self) -> None:
        """Send one request and wait for its answer, 50 ms longer than its time."""
        answer = await self._answer()
        outcome = "no connection" if answer is None else answer.outcome
        self.outcomes[outcome] += 1
        if outcome != "served":
            self._platform.record.write("answered", outcome=repr(outcome))

    async def _answer(self) -> Answer | None:
        try:
            client = await FastCgiClient.connect(self._platform.listen)
        except OSError:
            return None
        params = {
            "SCRIPT_NAME": "/do/readings",
            "HTTP_X_TXN": secrets.token_hex(8),
            "HTTP_X_TTL_MS": str(round(TTL_S * 1000)),
            "HTTP_X_ROW": secrets.token_hex(8),
            "HTTP_X_GROUP": "17",
            "HTTP_X_WORKING_SET_KB": "40",
        }
        _, future = client.send(params)
        try:
            return await asyncio.wait_for(future, TTL_S + 0.05)
        except TimeoutError:
            return LOST
        finally:
            client.close()

    async def load(self, seconds: float) -> None:
        """Send requests at a steady rate, and wait for all answers."""
        until_s = time.monotonic() + seconds
        asking = []
        while time.monotonic() < until_s:
            asking.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*asking)


async def replace(platform: Platform, arguments: str) -> RouterProcess:
    """Start ``run`` again, as the platform does; return the new process."""
    admin = (LOOPBACK, free_port())
    new = await platform.run("new", arguments, PROXY_ADMIN_ADDR=f"{LOOPBACK}:{admin[1]}")
    await platform.says_yes_within(admin, new, 4.0)
    return new


async def restart(platform: Platform, clients: Clients) -> None:
    """Begin a planned restart, and go on to connect for 0.2 s, as the front does."""
    platform.processes[0].signal(signal.SIGTERM)
    began_s = time.monotonic()
    asking = []
    for at_s in AFTER_SIGTERM_S:
        await asyncio.sleep(began_s + at_s - time.monotonic())
        asking.append(asyncio.create_task(clients.ask()))
    await asyncio.gather(*asking)
    await platform.processes[0].exited_within(5.0)


async def case(platform: Platform) -> bool:
    """Return whether only the old process exited, and every request got its answer."""
    await platform.start(answer_at_once)
    platform.hold_listening_socket()
    arguments = f"run --extras {write_extras(platform.folder)}"
    old = await platform.run("old", arguments, PROXY_ADMIN_ADDR=f"{LOOPBACK}:{free_port()}")
    require(await platform.is_ready_within(10.0), "the router was not ready in time")
    during = Clients(platform)
    loading = asyncio.create_task(during.load(LOAD_S))
    has_crashed = False
    if has_trouble():
        await asyncio.sleep(0.5)
        new = await replace(platform, arguments)
        has_crashed = new.exit_code is not None
        platform.record.write("new process", exit_code=new.exit_code)
    await loading
    platform.record.write("before the restart", **dict(during.outcomes))
    require(old.exit_code is None, "the old process has exited")
    after = Clients(platform)
    if has_trouble() and not has_crashed:
        old.signal(signal.SIGTERM)
        await after.load(0.5)
    else:
        await restart(platform, after)
    platform.record.write("after SIGTERM", **dict(after.outcomes))
    outcomes = during.outcomes + after.outcomes
    return not has_crashed and set(outcomes) == {"served"}


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
