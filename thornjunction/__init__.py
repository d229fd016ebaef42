"""thornjunction: a request router in front of several tiers of cache servers that share one origin."""

from thornjunction.interface import Settings
from thornjunction.policy.router import Router

__all__ = ["Router", "Settings"]
