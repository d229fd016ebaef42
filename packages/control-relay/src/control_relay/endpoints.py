"""The current endpoint list, each endpoint kept in its encoded form."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from control_relay.encoding import encode_endpoint, encode_list_event


class EndpointList:
    """The endpoints of the current list; those that have left it are not kept.

    ``number`` is the relay's number of the last change, 0 until a complete list has arrived; ``seq`` is
    discovery's version; ``rejected`` counts endpoints that were invalid or beyond ``max_endpoints``.
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
        """Replace the list by a complete one; return False if it equals the current one."""
        replacement: dict[str, bytes] = {}
        self._merge(replacement, endpoints)
        if self.number and replacement == self._endpoints and seq == self.seq:
            return False
        self._endpoints = replacement
        self.seq = seq
        return True

    def apply(self, endpoints: Iterable[Any], seq: int | None) -> list[bytes]:
        """Apply a change; return the encoded endpoints that were not rejected."""
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

    def _merge(self, by_name: dict[str, bytes], endpoints: Iterable[Any]) -> list[bytes]:
        applied = []
        for endpoint in endpoints:
            encoded = encode_endpoint(endpoint)
            if encoded is None:
                self.rejected += 1
                continue
            if encoded.has_left:
                by_name.pop(encoded.name, None)
            elif encoded.name in by_name or len(by_name) < self._max_endpoints:
                by_name[encoded.name] = encoded.data
            else:  # Bounds memory: an endpoint that is not kept here is not delivered either.
                self.rejected += 1
                continue
            applied.append(encoded.data)
        return applied
