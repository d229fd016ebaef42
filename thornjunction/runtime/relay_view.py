"""What a relay tells at its operators' door (``docs/CONTROL.md``)."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from control_relay import MemberStatus, PurgeStatus, Relay

from thornjunction.net.relay import Pollers
from thornjunction.net.wire.admin import encode_lines, encode_reply
from thornjunction.net.wire.polls import NAME

STATUS_FIELDS = {
    "ready": "ready",
    "epoch": "epoch",
    "head": "head",
    "done": "acknowledged",
    "age_ms": "age_ms",
    "seq": "seq",
    "shelfs": "endpoints",
    "purges": "purges",
    "log_events": "log_events",
    "log_bytes": "log_bytes",
    "waiting": "pending_polls",
    "present": "reachable_members",
    "cut_off": "unreachable_members",
    "forgotten": "evicted_members",
}
"""Names of the figures on the operators' page, and the fields of ``RelayStatus`` with their values."""


class RelayView:
    """The door's calls.  Times of day are Unix ms."""

    def __init__(
        self, machine: Relay, pollers: Pollers, clock: Callable[[], float], dismiss: Callable[[str], None]
    ) -> None:
        self.machine, self.pollers, self.clock, self._dismiss = machine, pollers, clock, dismiss
        self.calls: Mapping[str, Callable[[], bytes]] = {
            "check": self._check,
            "relay": self._relay,
            "purges": self._purges,
        }
        self.named: Mapping[str, Callable[[str], bytes]] = {"dismiss": self._dismissed}

    def _check(self) -> bytes:
        ready = self.machine.status(self.clock()).ready
        return encode_reply(ready, "" if ready else "no-state")

    def _relay(self) -> bytes:
        now = self.clock()
        status = self.machine.status(now)
        told = {name: getattr(status, field) for name, field in STATUS_FIELDS.items()}
        told |= {f"faults.{name}": count for name, count in sorted(status.faults.items())}
        told |= {"connections": len(self.pollers.links), "held_bytes": self.pollers.budget.reserved_bytes}
        told |= {f"ends.{code}": count for code, count in sorted(self.pollers.ends.items())}
        figures = (f"relay.{name}={_text(value)}" for name, value in told.items())
        return encode_lines(
            [*figures, *(self._router(one, now) for one in self.machine.lagging_members(now))]
        )

    def _router(self, one: MemberStatus, now: float) -> str:
        since = self._unix(one.lagging_since_ms, now)
        lagging = f"{one.lagging_count} {_names(one.lagging_names)}"
        return f"behind {one.name} {one.role} {one.state} {since} {lagging}"

    def _purges(self) -> bytes:
        now = self.clock()
        return encode_lines(self._purge(one, now) for one in self.machine.recent_purges())

    def _purge(self, one: PurgeStatus, now: float) -> str:
        what = one.key if one.key is not None else f"group-{one.group}"
        when = f"{one.issued_unix_ms:.0f}"
        if one.propagated_at_ms is not None:
            return f"purge {what} {when} done {self._unix(one.propagated_at_ms, now)}"
        return f"purge {what} {when} waits {one.lagging_count} {_names(one.lagging_names)}"

    def _dismissed(self, name: str) -> bytes:
        if not NAME.fullmatch(name):
            return encode_reply(False, "not a name")
        self._dismiss(name)
        return encode_reply(True)

    def _unix(self, at: float, now: float) -> int:
        """By what both clocks read now."""
        return round(time.time() * 1000.0 - (now - at))


def _text(value: object) -> str:
    if isinstance(value, bool):
        return str(int(value))
    return "-" if value is None else f"{value:.0f}" if isinstance(value, float) else str(value)


def _names(names: Iterable[str]) -> str:
    return ",".join(names) or "-"
