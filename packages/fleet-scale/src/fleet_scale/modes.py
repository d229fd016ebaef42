"""The ways in which the routers of a run receive events."""

from __future__ import annotations

from enum import StrEnum


class Mode(StrEnum):
    """Which endpoints the routers poll."""

    DIRECT = "direct"
    """Each router polls discovery."""

    RELAYS = "relays"
    """Relays poll discovery, and each router polls relays."""
