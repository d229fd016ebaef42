"""A router process with its client connections: open-loop and closed-loop load, and its cost."""

from __future__ import annotations

import asyncio
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmark_tools.front_connection import FrontConnection
from benchmark_tools.process_figures import all_threads_cpu_s, resident_mb

# Time after a load that its last requests get to end; those still open then count as unserved.
COMPLETION_TIMEOUT_S = 20.0
COMPLETION_CHECK_S = 0.005
SEND_INTERVAL_S = 0.002
# Requests in each burst of a closed loop.
BURST_REQUESTS = 48


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Duration of a load, the router's CPU time over it, and the numbers of requests sent and served."""

    seconds: float
    cpu_s: float
    sent: int
    served: int

    @property
    def request_us(self) -> float:
        """CPU time per served request, in us."""
        return self.cpu_s / max(self.served, 1) * 1e6

    @property
    def served_per_s(self) -> float:
        """Requests served per second."""
        return self.served / self.seconds

    @property
    def core_share(self) -> float:
        """CPU time over duration: the share of a core that the router used."""
        return self.cpu_s / self.seconds

    @property
    def unserved(self) -> int:
        """Number of requests that were sent and not served."""
        return self.sent - self.served


@dataclass(frozen=True, slots=True)
class LoadStart:
    """Time, CPU time and request counts at the start of a load."""

    time_s: float
    cpu_s: float
    ended: int
    served: int


class LoadedRouter:
    """A router process and its client connections, over which the requests are spread."""

    def __init__(self, process: subprocess.Popen[bytes], connections: Sequence[FrontConnection]) -> None:
        self.pid = process.pid
        self._connections = connections

    def cpu_s(self) -> float:
        """Return the router's CPU time since its start."""
        return all_threads_cpu_s(self.pid)

    def resident_mb(self) -> float:
        """Return the router's resident memory."""
        return resident_mb(self.pid)

    @property
    def ended(self) -> int:
        """Number of requests that have ended, served or not."""
        return sum(connection.ended_count for connection in self._connections)

    @property
    def served(self) -> int:
        """Number of requests that were answered with status 200."""
        return sum(connection.served_count for connection in self._connections)

    def send_request(self, number: int, size_bytes: int) -> None:
        """Send request ``number``; successive numbers use the connections round-robin."""
        self._connections[number % len(self._connections)].send_request(size_bytes)

    async def send_at_rate(self, requests_per_s: float, size_bytes: int, seconds: float) -> LoadResult:
        """Open loop: send at an even rate, independently of the responses."""
        start = self._start()
        sent = 0
        while (elapsed_s := time.monotonic() - start.time_s) < seconds:
            while sent < elapsed_s * requests_per_s:
                self.send_request(sent, size_bytes)
                sent += 1
            await asyncio.sleep(SEND_INTERVAL_S)
        return await self._finish(start, sent)

    async def keep_open(self, open_count: int, size_bytes: int, requests: int) -> LoadResult:
        """Closed loop: keep ``open_count`` requests open until about ``requests`` have been sent."""
        start = self._start()
        connections = self._connections[: min(open_count, len(self._connections))]
        repeats = max(requests - open_count, 0) // len(connections)
        for connection in connections:
            connection.repeat_bytes = size_bytes
            connection.repeat_count = repeats
        for number in range(open_count):
            connections[number % len(connections)].send_request(size_bytes)
        return await self._finish(start, open_count + repeats * len(connections))

    async def keep_open_in_bursts(self, open_count: int, size_bytes: int, requests: int) -> LoadResult:
        """Closed loop in bursts, each followed by a pause of the same duration.

        The router uses half a core at most, so that its load shedding rejects no request.
        """
        bursts = []
        for _ in range(requests // BURST_REQUESTS):
            burst = await self.keep_open(open_count, size_bytes, BURST_REQUESTS)
            bursts.append(burst)
            await asyncio.sleep(burst.seconds)
        return LoadResult(
            sum(burst.seconds for burst in bursts),
            sum(burst.cpu_s for burst in bursts),
            sum(burst.sent for burst in bursts),
            sum(burst.served for burst in bursts),
        )

    def _start(self) -> LoadStart:
        return LoadStart(time.monotonic(), self.cpu_s(), self.ended, self.served)

    async def _finish(self, start: LoadStart, sent: int) -> LoadResult:
        """Wait until all requests have ended, or for ``COMPLETION_TIMEOUT_S``, and return the result."""
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S
        while self.ended - start.ended < sent and time.monotonic() < until_s:
            await asyncio.sleep(COMPLETION_CHECK_S)
        seconds = time.monotonic() - start.time_s
        return LoadResult(seconds, self.cpu_s() - start.cpu_s, sent, self.served - start.served)
