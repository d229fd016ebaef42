"""The base class of the messages between a run and its workers, and a type that several use."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """A message; the tag in its encoded form is its class name."""


class Direction(StrEnum):
    """The two directions of a connection through a proxy."""

    FORWARD = "forward"
    """From the client, which opened the connection, to the target."""

    BACKWARD = "backward"
    """From the target to the client."""
