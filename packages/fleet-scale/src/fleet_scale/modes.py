"""How the routers of a run learn of events."""

from __future__ import annotations

from enum import StrEnum


class Mode(StrEnum):
    """What the routers poll."""

    DIRECT = "direct"
    """Each router polls discovery."""

    RELAYS = "relays"
    """Relays poll discovery, and each router polls relays."""
