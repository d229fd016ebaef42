"""Load shedding: rejects new requests that the process cannot decide in time, by its event loop's lag.

Measured under an ordinary load: a router is asked for 2,000 to 5,000 requests a second, and decides about
2,000 at most.  Without load shedding all of them wait together until all are late, and the admission gates of
the decisions close on healthy cache servers.
"""

from __future__ import annotations

from collections.abc import Callable

# Time between samples of the event loop's lag.
SAMPLE_INTERVAL_MS = 20.0

# Lag from which a sample counts as late.
LATE_LAG_MS = 20.0

# Weight of a very late sample, in samples that are just late.
MAX_LATE_WEIGHT = 4.0

# Use of the core below which lag is not caused by this process's own work.
MIN_BUSY_USAGE = 0.5

# Smoothed use of the core from which fewer requests are admitted; near 1, queues grow without end.
FULL_USAGE = 0.85

# Weight of a sample in the smoothed use, which so covers about the last ten.
# Single samples of a healthy core are often full.
USAGE_GAIN = 0.1

# Share of the greatest lag that is kept from sample to sample.
LAG_DECAY = 0.98

# Open requests: half as many again as under an ordinary load.  Beyond it all requests get later.
MAX_OPEN_REQUESTS = 384

# Factor by which a late sample lowers the admitted share.
LATE_FACTOR = 0.9

# Factor by which a sample with the core full lowers the admitted share.
FULL_FACTOR = 0.97

# Amount by which any other sample raises the admitted share.
RECOVERY_STEP = 0.01

# Smallest admitted share: some work must be left whose lag is measured.
MIN_ADMITTED_SHARE = 0.1


class LoadShedder:
    """Admits a share of new requests, by the lag of the event loop and the number of open requests.

    Args:
        draw: returns random numbers in [0, 1).
        cores: number of cores that the process may use.

    Attributes:
        admitted_share: share of new requests that is admitted, 0 to 1.
    """

    def __init__(self, draw: Callable[[], float], cores: float = 1.0) -> None:
        self._draw = draw
        self._cores = cores
        self._smoothed_usage = 0.0  # of what the process may use
        self._lag_ms = 0.0  # greatest of late, decayed
        self.admitted_share = 1.0

    def record_sample(self, lag_ms: float, core_usage: float) -> None:
        """Adjust the admitted share by a sample of the event loop.

        A late sample with little usage means that the process was kept from running, which rejections do not
        change.

        Args:
            lag_ms: how late the sample was taken.
            core_usage: share of one core that the process used since the last sample.
        """
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

    def _lower(self, factor: float) -> None:
        self.admitted_share = max(self.admitted_share * factor, MIN_ADMITTED_SHARE)

    def read_delay_ms(self) -> float:
        """Return how long a request may have waited until it was read: one turn of the event loop.

        Only this is subtracted from the client's time, which counts from the request's last byte: clients
        with short timeouts need every millisecond.
        """
        return self._lag_ms

    def admits(self, open_requests: int) -> bool:
        """Return whether to accept one more request, with this number of open ones."""
        if open_requests >= MAX_OPEN_REQUESTS:
            return False
        return self.admitted_share >= 1.0 or self._draw() < self.admitted_share
