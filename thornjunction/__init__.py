"""thornjunction: the decisions of a request router before tiers of caches."""

from thornjunction.interface import Settings
from thornjunction.policy.router import Router

__all__ = ["Router", "Settings"]
