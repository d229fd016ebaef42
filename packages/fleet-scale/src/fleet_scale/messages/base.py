"""What all messages between a run and its workers share."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """A message; its class name is sent along as the tag."""


class Direction(StrEnum):
    """The two directions of a connection through a proxy."""

    FORWARD = "forward"
    """From the process that connected."""

    BACKWARD = "backward"
    """From the target."""
