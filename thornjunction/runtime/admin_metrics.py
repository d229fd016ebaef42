"""The metrics that the admin endpoint returns, under the names that operators use."""

from __future__ import annotations

from collections import Counter

from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.policy.router import Router

# Names of the metrics that each request class has, and the request outcomes that they count.
OUTCOME_METRICS = {"fulfilled": "served", "throttled": "refused", "faulted": "failed"}


def collect_admin_metrics(
    counters: Counters, engine: Engine, pool: ConnectionPool, router: Router, reloads: Counter[str]
) -> dict[str, int]:
    """Return counters since the start of this process, and gauges of its current state.

    ``reloads`` counts the reloads of the configuration by result: ``accepted`` or ``invalid``.
    """
    metrics = {
        f"{metric}.{class_name}": counters.counts[f"requests.{class_name}.{outcome}"]
        for class_name in sorted(counters.classes)
        for metric, outcome in OUTCOME_METRICS.items()
    }
    return metrics | {
        "relayed": pool.attempts_written,
        "open_requests": len(engine.requests),
        "registry_entries": len(pool.upstreams),
        "out_of_rotation": router.state.placement.server_list.count_unavailable(
            pool.upstreams, router.state.context.now_ms
        ),
        "cfg_accepted": reloads["accepted"],
        "cfg_invalid": reloads["invalid"],
    }
