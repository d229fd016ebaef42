"""sumacpitch: the decisions of a request router before tiers of caches."""

from sumacpitch.interface import Settings
from sumacpitch.policy import Router

__all__ = ["Router", "Settings"]
