"""The figures that the operators' door shows, under the operators' names."""

from __future__ import annotations

from collections import Counter

from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.net.shelves import ShelfPool
from thornjunction.policy.router import Router

ENDS = {"fulfilled": "served", "throttled": "refused", "faulted": "failed"}


def figures_of(
    counters: Counters, engine: Engine, pool: ShelfPool, router: Router, files: Counter[str]
) -> dict[str, int]:
    """Counts since the start of this process, and what stands now."""
    told = {
        f"{figure}.{name}": counters.counts[f"requests.{name}.{end}"]
        for name in sorted(counters.classes)
        for figure, end in ENDS.items()
    }
    return told | {
        "relayed": pool.relayed,
        "open_requests": len(engine.requests),
        "registry_entries": len(pool.shelves),
        "out_of_rotation": router.placement.server_list.count_unavailable(
            pool.shelves, router.context.now_ms
        ),
        "cfg_accepted": files["accepted"],
        "cfg_invalid": files["invalid"],
    }
