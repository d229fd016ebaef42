"""The current endpoint list, each endpoint kept in its encoded form."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from control_relay.encoding import encode_endpoint, encode_list_event


class EndpointList:
    """The endpoints that are in the list now; those that have left are not kept.

    ``number`` is the relay's number of the last change, 0 until a complete list has come; ``seq`` is
    discovery's version; ``rejected`` counts endpoints that were not taken.
    """

    def __init__(self, max_endpoints: int) -> None:
        self.number = 0
        self.seq: int | None = None
        self.rejected = 0
        self._max_endpoints = max_endpoints
        self._endpoints: dict[str, bytes] = {}
        self._encoded = b""

    def __len__(self) -> int:
        return len(self._endpoints)

    def replace(self, endpoints: Iterable[Any], seq: int | None) -> bool:
        """Take a complete list; return False if it equals the current one."""
        replacement: dict[str, bytes] = {}
        self._merge(replacement, endpoints)
        if self.number and replacement == self._endpoints and seq == self.seq:
            return False
        self._endpoints = replacement
        self.seq = seq
        return True

    def apply(self, endpoints: Iterable[Any], seq: int | None) -> list[bytes]:
        """Apply a change; return the encoded endpoints that were taken."""
        self.seq = seq
        return self._merge(self._endpoints, endpoints)

    def assign_number(self, number: int) -> None:
        """Record the event number of the last change."""
        self.number = number
        self._encoded = b""

    def encoded_event(self) -> bytes:
        """Return the complete list as an event under the number of its last change."""
        if not self._encoded:
            self._encoded = encode_list_event(self.number, self.seq, True, self._endpoints.values())
        return self._encoded

    def _merge(self, into: dict[str, bytes], endpoints: Iterable[Any]) -> list[bytes]:
        taken = []
        for endpoint in endpoints:
            encoded = encode_endpoint(endpoint)
            if encoded is None:
                self.rejected += 1
                continue
            if encoded.has_left:
                into.pop(encoded.name, None)
            elif encoded.name in into or len(into) < self._max_endpoints:
                into[encoded.name] = encoded.data
            else:  # Bounds memory: members never hear of an endpoint that is not kept here.
                self.rejected += 1
                continue
            taken.append(encoded.data)
        return taken
