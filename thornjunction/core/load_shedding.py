"""Load shedding: rejects new requests that the process cannot decide in time, judged by the event loop's lag.

Measured under an ordinary load: a router receives 2,000 to 5,000 requests per second, and decides about 2,000
at most.  Without load shedding all of them queue until all are late, and the router's admission gates close
for healthy cache servers.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

from thornjunction.core.client_shares import ClientShares

# Time between samples of the event loop's lag.
SAMPLE_INTERVAL_MS = 20.0

# Lag above which a sample counts as late.
LATE_LAG_MS = 20.0

# Greatest weight of a late sample, where a sample that is just late has weight 1.
MAX_LATE_WEIGHT = 4.0

# Usage up to which lag is not attributed to this process's own work; 1 is all of its cores.
MIN_BUSY_USAGE = 0.5

# Smoothed usage above which fewer requests are admitted; near 1, queues grow without bound.
FULL_USAGE = 0.85

# Weight of a sample in the smoothed usage, which thereby covers about the last ten samples.  Single samples
# of a healthy process often show full usage.
USAGE_GAIN = 0.1

# Factor by which the greatest lag decays from sample to sample.
LAG_DECAY = 0.98

# Greatest number of open requests: 1.5 times that under an ordinary load.  Above it all requests are delayed.
MAX_OPEN_REQUESTS = 384

# Factor by which a late sample of weight 1 lowers the admitted share.
LATE_FACTOR = 0.9

# Factor by which a sample lowers the admitted share while the smoothed usage is above ``FULL_USAGE``.
FULL_FACTOR = 0.97

# Amount by which any other sample raises the admitted share.
RECOVERY_STEP = 0.01

# Samples in a window in which the requests of each client are counted.
CLIENT_WINDOW_SAMPLES = 25

# Smallest admitted share: without admitted work there would be no lag to measure.
MIN_ADMITTED_SHARE = 0.1


class LoadShedder:
    """Admits a share of new requests, by the event loop's lag, the usage and the number of open requests.

    Args:
        draw: returns random numbers in [0, 1).
        cores: number of cores that the process may use.

    Attributes:
        admitted_share: share of new requests that is admitted, ``MIN_ADMITTED_SHARE`` to 1.
    """

    def __init__(self, draw: Callable[[], float], cores: float = 1.0) -> None:
        self._draw = draw
        self._cores = cores
        self._smoothed_usage = 0.0  # share of ``cores`` in use
        self._lag_ms = 0.0  # greatest recent lag, with decay
        self.admitted_share = 1.0
        self._clients = ClientShares()
        self._window_samples = 0

    def record_sample(self, lag_ms: float, core_usage: float) -> None:
        """Adjust the admitted share by a sample of the event loop.

        A late sample with little usage means that the system did not schedule the process, which rejections
        would not change.

        Args:
            lag_ms: how long after its due time the sample was taken.
            core_usage: share of one core that the process used since the last sample.
        """
        self._advance_client_window()
        usage = core_usage / self._cores
        self._lag_ms = max(lag_ms, self._lag_ms * LAG_DECAY)
        self._smoothed_usage += USAGE_GAIN * (usage - self._smoothed_usage)
        if lag_ms > LATE_LAG_MS and usage > MIN_BUSY_USAGE:
            late_weight = min(lag_ms / LATE_LAG_MS, MAX_LATE_WEIGHT)
            self._lower(LATE_FACTOR**late_weight)
        elif self._smoothed_usage > FULL_USAGE:
            self._lower(FULL_FACTOR)
        else:
            self.admitted_share = min(self.admitted_share + RECOVERY_STEP, 1.0)

    def _advance_client_window(self) -> None:
        self._window_samples += 1
        if self._window_samples >= CLIENT_WINDOW_SAMPLES:
            self._window_samples = 0
            self._clients.end_window()

    def _lower(self, factor: float) -> None:
        self.admitted_share = max(self.admitted_share * factor, MIN_ADMITTED_SHARE)

    def read_delay_ms(self) -> float:
        """Return how long a request may have waited until it was read, in ms: the event loop's recent lag.

        Only this is subtracted from the client's remaining time, which counts from the request's last byte:
        clients with short timeouts need every millisecond.
        """
        return self._lag_ms

    def admits(self, open_requests: int, client: Hashable) -> bool:
        """Return whether to accept one more request of a client, given the number of all open requests."""
        self._clients.record(client)
        if open_requests >= MAX_OPEN_REQUESTS:
            return False
        if self.admitted_share >= 1.0:
            return True
        return self._draw() < self._clients.admitted_share(client, self.admitted_share)
