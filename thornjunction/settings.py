"""Reads the settings: the simulator's first message and the real router's configuration hold the same."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

from thornjunction import interface as api

MOST = 1e15  # of any number here: past it a float no longer holds all milliseconds


class WireError(Exception):
    """A line or a setting that cannot be understood; the text names it."""


class Params:
    """Reads the settings; an error names the setting."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise WireError(f"setting {path or 'params'!r} is not an object")
        self.data, self.path = data, path

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """The value of a setting, of the stated kind."""
        found = self.data.get(name, default)
        if found is None:
            raise WireError(f"setting {self.path + name!r} is missing")
        if not isinstance(found, kind) or (isinstance(found, bool) and kind is not bool):
            raise WireError(f"setting {self.path + name!r} has an impossible value {found!r}")
        return found

    def number(self, name: str, default: float | None = None) -> float:
        """A number that is not negative."""
        return self._checked(name, self.get(name, (int, float), default))

    def _checked(self, name: str, found: Any) -> float:
        number = isinstance(found, int | float) and not isinstance(found, bool)
        if not number or not 0 <= found <= MOST:
            raise WireError(f"setting {self.path + name!r} has an impossible value {str(found)[:80]!r}")
        return float(found)

    def numbers(self, name: str) -> list[float]:
        """A list of numbers that are not negative; empty where it is not told."""
        return [self._checked(name, found) for found in self.get(name, list, [])]

    def listed(self, name: str, kind: type, least: int = 0) -> list[Any]:
        """A list of values of one kind, so many at least; empty where it is not told and need not be."""
        found: list[Any] = self.get(name, list, None if least else [])
        if len(found) < least or not all(isinstance(value, kind) for value in found):
            raise WireError(f"setting {self.path + name!r} has an impossible value {str(found)[:80]!r}")
        return found

    def positive(self, name: str) -> float:
        """A number above zero."""
        found = self.number(name)
        if not found > 0:
            raise WireError(f"setting {self.path + name!r} has an impossible value {found!r}")
        return found

    def choice(self, name: str, options: type[Any], default: str | None = None) -> Any:
        """One of an enum's values."""
        found = self.get(name, str, default)
        try:
            return options(found)
        except ValueError as error:
            raise WireError(f"setting {self.path + name!r} has an impossible value {found!r}") from error

    def below(self, name: str) -> Params:
        """The settings under a name."""
        return Params(self.get(name, dict), f"{self.path}{name}.")


def read_class(data: Any, place: int, special: Params) -> api.RequestClass:
    """One class of requests."""
    params = Params(data, f"classes[{place}].")
    safety = params.choice("idempotency", api.Safety)
    passes = special.listed("passOn", bool)

    def by_class(name: str) -> float:
        listed = special.numbers(name)
        return listed[place] if place < len(listed) else 0.0

    return api.RequestClass(
        name=params.get("name", str),
        aim_ms=params.number("aimMs"),
        give_up_ms=params.positive("giveUpMs"),
        safety=safety,
        aim_stretch=params.number("aimStretch", 0.0),
        late_worth=params.number("lateWorth", 0.0),
        worth=params.number("worth", 1.0),
        group=params.choice("group", api.Group, "all"),
        memory_ms=params.number("memorySpanMs", None if safety is api.Safety.KEYED else 0.0),
        fresh_ms=by_class("classFreshMs"),
        grace_ms=by_class("staleForMs") if by_class("staleEarns") > 0 else 0.0,
        passes=place < len(passes) and passes[place],
    )


def parse_json(text: str | bytes) -> Any:
    """The settings' text as JSON."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WireError(f"settings are not JSON: {error}") from error


def read_settings(params: Params) -> api.Settings:
    """The router's settings from the platform's."""
    allowed, safety, special = params.below("allowed"), params.below("safety"), params.below("specifics")
    zones: list[str] = params.listed("zones", str, least=1)
    classes = params.listed("classes", Mapping, least=1)

    def by_zone(name: str) -> dict[str, float]:
        return dict(zip(zones, special.numbers(name), strict=False))

    hubs = {zone: int(hub) for zone, hub in by_zone("hubByZone").items()}
    if any(hub >= len(zones) for hub in hubs.values()):
        raise WireError(f"setting {special.path + 'hubByZone'!r} names a place outside zones")

    return api.Settings(
        classes=tuple(read_class(data, place, special) for place, data in enumerate(classes)),
        zone=params.get("myZone", str),
        instances=int(params.number("instances")),
        zone_fronts={zone: int(count) for zone, count in by_zone("instancesByZone").items()},
        max_attempts=math.ceil(allowed.positive("attemptsCap")),
        drain_grace_ms=safety.number("drainGraceMs"),
        cold_share=safety.number("startCapacity"),
        cold_ms=safety.number("coldMs"),
        fall_multiple=safety.number("fallMultiple"),
        fall_ms=safety.number("fallMs"),
        parent_cold_share=special.number("parentFloor", 1.0),
        parent_cold_ms=special.number("parentWarmsInMs", 0.0),
        parent_fall_multiple=special.number("upperFallMultiple", 2.0),
        purge_takes_ms=special.number("purgeTakesMs", 0.0),
        purge_grace_ms=special.number("obeyAfterMs", 0.0),
        answer_slack_ms=safety.number("answerSlackMs", 0.0),
        flow_kb_per_ms=special.number("oneFlowKbPerS", 0.0) / 1000.0,
        weighted=params.get("weights", str, "none") in ("nominal", "rough"),
        may_cancel=allowed.get("cancel", bool, False),
        may_copy=allowed.get("secondCopies", bool, False),
        may_probe=allowed.get("probing", bool, False),
        may_bypass=special.get("mayPassBy", bool, False),
        may_join=special.get("collapses", bool, False),
        may_advise_wait=allowed.get("retryAfter", bool, False),
        max_wait_advice_ms=allowed.number("maxRetryAfterMs", 0.0),
        siblings=special.choice("siblings", api.Siblings, "none"),
        notes=special.choice("says", api.Notes, "none"),
        zone_hub={zone: zones[hub] for zone, hub in hubs.items()},
        zone_link_kb_per_ms={
            zone: kb_per_s / 1000.0 for zone, kb_per_s in by_zone("pipeKbPerS").items() if kb_per_s > 0
        },
    )


def read_roles(params: Params) -> dict[str, api.Role]:
    """The kinds of machine that are not edge caches."""
    special, kinds = params.below("specifics"), params.listed("machineTypes", str, least=1)
    roles: dict[str, api.Role] = {}
    for name, role in (("secondTierKind", api.Role.PARENT), ("rootKind", api.Role.ORIGIN)):
        place = special.get(name, int, -1)
        if 0 <= place < len(kinds):
            roles[kinds[place]] = role
    return roles


def read_report(told: Mapping[str, float]) -> api.Report:
    """A load report from its named values."""
    return api.Report(busy=told.get("util"), hit_share=told.get("x0"), link=told.get("x1"))
