"""Reads the settings: the simulator's first message and the router's configuration hold the same object."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from thornjunction import interface as api

# Largest number that a setting may have: past it a float no longer holds all whole milliseconds.
MAX_NUMBER = 1e15
# Characters of a wrong value that an error shows.
MAX_SHOWN_CHARACTERS = 80
# Milliseconds of a second: rates are set a second and used a millisecond.
MS_PER_S = 1000.0


class WireError(Exception):
    """A line or a setting that cannot be understood; the text names it."""


class MissingSettingError(WireError):
    """A setting that must be given is not there."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} is missing")


class InvalidSettingError(WireError):
    """A setting has a value that it cannot have."""

    def __init__(self, name: str, value: Any) -> None:
        super().__init__(f"setting {name!r} has an impossible value {value!r}")


class NotAnObjectError(WireError):
    """A group of settings is not a JSON object."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} is not an object")


class InvalidJsonError(WireError):
    """The text of the settings is not JSON."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"settings are not JSON: {cause}")


class UnknownZoneError(WireError):
    """A setting names a zone by a place that the list of zones does not have."""

    def __init__(self, name: str) -> None:
        super().__init__(f"setting {name!r} names a place outside zones")


def _shown(value: Any) -> str:
    return str(value)[:MAX_SHOWN_CHARACTERS]


class SettingsReader:
    """Reads values of a JSON object by name; ``path`` is put before the names in errors.

    All methods raise ``MissingSettingError`` for a setting that is not there and has no default, and
    ``InvalidSettingError`` for one of another kind or out of range.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise NotAnObjectError(path or "params")
        self.data = data
        self.path = path

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """Return the value of a setting, of the given kind; a bool does not count as a number."""
        value = self.data.get(name, default)
        if value is None:
            raise MissingSettingError(self.path + name)
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise InvalidSettingError(self.path + name, value)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number that is not negative."""
        return self._checked(name, self.get(name, (int, float), default))

    def positive(self, name: str) -> float:
        """Return a number above zero."""
        value = self.number(name)
        if not value > 0:
            raise InvalidSettingError(self.path + name, value)
        return value

    def numbers(self, name: str) -> list[float]:
        """Return a list of numbers that are not negative; empty where it is not given."""
        return [self._checked(name, value) for value in self.get(name, list, [])]

    def values(self, name: str, kind: type, minimum_count: int = 0) -> list[Any]:
        """Return a list of values of one kind; empty where none is given and none is needed."""
        values: list[Any] = self.get(name, list, None if minimum_count else [])
        if len(values) < minimum_count or not all(isinstance(value, kind) for value in values):
            raise InvalidSettingError(self.path + name, _shown(values))
        return values

    def choice(self, name: str, options: type[Any], default: str | None = None) -> Any:
        """Return the member of an enum that has the setting's value."""
        value = self.get(name, str, default)
        try:
            return options(value)
        except ValueError as error:
            raise InvalidSettingError(self.path + name, value) from error

    def section(self, name: str) -> SettingsReader:
        """Return a reader of the settings under a name."""
        return SettingsReader(self.get(name, dict), f"{self.path}{name}.")

    def _checked(self, name: str, value: Any) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_NUMBER:
            raise InvalidSettingError(self.path + name, _shown(value))
        return float(value)


def read_class(data: Any, index: int, special: SettingsReader) -> api.RequestClass:
    """Return one request class; ``special`` holds lists with a value for each class, by its index."""
    params = SettingsReader(data, f"classes[{index}].")
    safety = params.choice("idempotency", api.Idempotency)
    passes = special.values("passOn", bool)

    def by_class(name: str) -> float:
        values = special.numbers(name)
        return values[index] if index < len(values) else 0.0

    return api.RequestClass(
        name=params.get("name", str),
        latency_objective_ms=params.number("aimMs"),
        client_timeout_ms=params.positive("giveUpMs"),
        idempotency=safety,
        objective_transfer_factor=params.number("aimStretch", 0.0),
        late_value_share=params.number("lateWorth", 0.0),
        priority_weight=params.number("worth", 1.0),
        deduplication_scope=params.choice("group", api.DeduplicationScope, "all"),
        deduplication_window_ms=params.number(
            "memorySpanMs", None if safety is api.Idempotency.KEYED else 0.0
        ),
        freshness_ms=by_class("classFreshMs"),
        stale_grace_ms=by_class("staleForMs") if by_class("staleEarns") > 0 else 0.0,
        uncacheable=index < len(passes) and passes[index],
    )


def parse_json(text: str | bytes) -> Any:
    """Return the settings' text as JSON; raises ``InvalidJsonError``."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidJsonError(error) from error


def read_settings(params: SettingsReader) -> api.Settings:
    """Return the router's settings from the platform's."""
    allowed = params.section("allowed")
    safety = params.section("safety")
    special = params.section("specifics")
    zones: list[str] = params.values("zones", str, minimum_count=1)
    classes = params.values("classes", Mapping, minimum_count=1)
    common = api.Settings(
        classes=tuple(read_class(data, index, special) for index, data in enumerate(classes)),
        zone=params.get("myZone", str),
        router_count=int(params.number("instances")),
        routers_by_zone={},
        max_attempts=math.ceil(allowed.positive("attemptsCap")),
        drain_grace_ms=safety.number("drainGraceMs"),
        initial_capacity_share=safety.number("startCapacity"),
        slow_start_ms=safety.number("coldMs"),
        overload_multiple=safety.number("fallMultiple"),
        overload_window_ms=safety.number("fallMs"),
        answer_slack_ms=safety.number("answerSlackMs", 0.0),
        servers_weighted=params.get("weights", str, "none") in ("nominal", "rough"),
        may_cancel=allowed.get("cancel", bool, False),
        may_hedge=allowed.get("secondCopies", bool, False),
        may_check_health=allowed.get("probing", bool, False),
        may_send_retry_after=allowed.get("retryAfter", bool, False),
        max_retry_after_ms=allowed.number("maxRetryAfterMs", 0.0),
    )
    return _with_specifics(common, special, zones)


def _with_specifics(settings: api.Settings, special: SettingsReader, zones: list[str]) -> api.Settings:
    """Return the settings with those of this platform's kind; lists there have a value for each zone."""

    def by_zone(name: str) -> dict[str, float]:
        return dict(zip(zones, special.numbers(name), strict=False))

    hubs = {zone: int(hub) for zone, hub in by_zone("hubByZone").items()}
    if any(hub >= len(zones) for hub in hubs.values()):
        raise UnknownZoneError(special.path + "hubByZone")
    links_kb_per_s = by_zone("pipeKbPerS")
    return replace(
        settings,
        routers_by_zone={zone: int(count) for zone, count in by_zone("instancesByZone").items()},
        parent_initial_capacity_share=special.number("parentFloor", 1.0),
        parent_slow_start_ms=special.number("parentWarmsInMs", 0.0),
        parent_overload_multiple=special.number("upperFallMultiple", 2.0),
        purge_propagation_ms=special.number("purgeTakesMs", 0.0),
        purge_grace_ms=special.number("obeyAfterMs", 0.0),
        transfer_rate_kb_per_ms=special.number("oneFlowKbPerS", 0.0) / MS_PER_S,
        may_bypass_caches=special.get("mayPassBy", bool, False),
        may_coalesce=special.get("collapses", bool, False),
        peer_fill=special.choice("siblings", api.PeerFill, "none"),
        fill_reporting=special.choice("says", api.FillReporting, "none"),
        hub_by_zone={zone: zones[hub] for zone, hub in hubs.items()},
        link_rate_by_zone_kb_per_ms={
            zone: kb_per_s / MS_PER_S for zone, kb_per_s in links_kb_per_s.items() if kb_per_s > 0
        },
    )


def read_roles(params: SettingsReader) -> dict[str, api.Role]:
    """Return the roles of the kinds of machine that are not edge caches."""
    special = params.section("specifics")
    kinds = params.values("machineTypes", str, minimum_count=1)
    roles: dict[str, api.Role] = {}
    for name, role in (("secondTierKind", api.Role.PARENT), ("rootKind", api.Role.ORIGIN)):
        index = special.get(name, int, -1)
        if 0 <= index < len(kinds):
            roles[kinds[index]] = role
    return roles


def read_report(values: Mapping[str, float]) -> api.LoadReport:
    """Return a load report from its named values; those that are not there are unknown."""
    return api.LoadReport(
        cpu_utilization=values.get("util"), hit_ratio=values.get("x0"), link_utilization=values.get("x1")
    )
