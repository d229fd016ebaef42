"""The metrics that the admin endpoint shows, under the operators' names."""

from __future__ import annotations

from collections import Counter

from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.policy.router import Router

# Names of the metrics of each class, and the outcomes that they count.
OUTCOME_METRICS = {"fulfilled": "served", "throttled": "refused", "faulted": "failed"}


def collect_admin_metrics(
    counters: Counters, engine: Engine, pool: ConnectionPool, router: Router, reloads: Counter[str]
) -> dict[str, int]:
    """Counts since the start of this process, and gauges of its present state.

    ``reloads`` counts configuration files by ``accepted`` and ``invalid``.
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
