"""The calls of a relay's admin endpoint (``docs/CONTROL.md``)."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from control_relay import MemberStatus, PurgeStatus, Relay

from thornjunction.net.relay.poller_table import PollerTable
from thornjunction.net.wire.admin import encode_lines, encode_reply
from thornjunction.net.wire.polls import NAME

# Metrics by the names that operators use, with the fields of ``RelayStatus`` that hold their values.
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


class RelayStatusCalls:
    """Answers the calls of the admin endpoint; times in the replies are Unix ms.

    Attributes:
        by_name: calls without an argument, by name.
        with_argument: calls with one argument, by name.
    """

    def __init__(
        self,
        relay: Relay,
        pollers: PollerTable,
        clock: Callable[[], float],
        deregister: Callable[[str], None],
    ) -> None:
        self._relay = relay
        self._pollers = pollers
        self._clock = clock
        self._deregister = deregister
        self.by_name: Mapping[str, Callable[[], bytes]] = {
            "check": self._check,
            "relay": self._show_status,
            "purges": self._show_purges,
        }
        self.with_argument: Mapping[str, Callable[[str], bytes]] = {"dismiss": self._dismiss}

    def _check(self) -> bytes:
        is_ready = self._relay.status(self._clock()).ready
        return encode_reply(is_ready, "" if is_ready else "no-state")

    def _show_status(self) -> bytes:
        now_ms = self._clock()
        metrics = (f"relay.{name}={_format_value(value)}" for name, value in self._metrics(now_ms).items())
        members = (_format_member(member, now_ms) for member in self._relay.lagging_members(now_ms))
        return encode_lines([*metrics, *members])

    def _metrics(self, now_ms: float) -> dict[str, object]:
        status = self._relay.status(now_ms)
        metrics: dict[str, object] = {name: getattr(status, field) for name, field in STATUS_FIELDS.items()}
        metrics |= {f"faults.{name}": count for name, count in sorted(status.faults.items())}
        metrics["connections"] = len(self._pollers.connections)
        metrics["held_bytes"] = self._pollers.budget.reserved_bytes
        metrics |= {f"ends.{reason}": count for reason, count in sorted(self._pollers.end_counts.items())}
        return metrics

    def _show_purges(self) -> bytes:
        now_ms = self._clock()
        return encode_lines(_format_purge(purge, now_ms) for purge in self._relay.recent_purges())

    def _dismiss(self, name: str) -> bytes:
        if not NAME.fullmatch(name):
            return encode_reply(False, "not a name")
        self._deregister(name)
        return encode_reply(True)


def _format_member(member: MemberStatus, now_ms: float) -> str:
    since_ms = _to_unix_ms(member.lagging_since_ms, now_ms)
    lagging = f"{member.lagging_count} {_format_names(member.lagging_names)}"
    return f"behind {member.name} {member.role} {member.state} {since_ms} {lagging}"


def _format_purge(purge: PurgeStatus, now_ms: float) -> str:
    subject = purge.key if purge.key is not None else f"group-{purge.group}"
    issued_ms = f"{purge.issued_unix_ms:.0f}"
    if purge.propagated_at_ms is not None:
        return f"purge {subject} {issued_ms} done {_to_unix_ms(purge.propagated_at_ms, now_ms)}"
    return f"purge {subject} {issued_ms} waits {purge.lagging_count} {_format_names(purge.lagging_names)}"


def _to_unix_ms(at_ms: float, now_ms: float) -> int:
    """Convert a time of the core's clock to Unix ms, using the current readings of both clocks."""
    return round(time.time() * 1000.0 - (now_ms - at_ms))


def _format_value(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return str(int(value))
        case float():
            return f"{value:.0f}"
    return str(value)


def _format_names(names: Iterable[str]) -> str:
    return ",".join(names) or "-"
