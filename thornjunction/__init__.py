"""thornjunction: a request router before tiers of caches with one origin behind them."""

from thornjunction.interface import Settings
from thornjunction.policy.router import Router

__all__ = ["Router", "Settings"]
