"""Reads and checks the operators' file under deploy/ and applies defaults; messages name the faulty key.

This module is imported only if there is such a file: a router without one does not load its libraries.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING

from thornjunction.runtime.addresses import Address, read_address
from thornjunction.runtime.errors import FaultyFileError, MissingPackageError
from thornjunction.runtime.signed_settings import SignedFrontSettings, read_signed_front
from thornjunction.settings import SettingsReader, WireError

if TYPE_CHECKING:
    from thornjunction.runtime.control_settings import ControlSettings
    from thornjunction.runtime.fleet_settings import FleetSettings

# Time between two exports of metrics, unless configured.
DEFAULT_METRICS_INTERVAL_S = 10.0

# Shortest export interval; a shorter configured value is raised to it.
MIN_METRICS_INTERVAL_S = 0.1

# Prefix of metric names, unless configured.
DEFAULT_METRICS_PREFIX = "thornjunction"


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Settings of the metrics export.

    Attributes:
        interval_s: time between two exports.
        prefix: prefix of metric names in Graphite.
        graphite: address of Graphite, or None if metrics are not sent to it.
        collectd: address of collectd, or None if metrics are not sent to it.
    """

    interval_s: float
    prefix: str
    graphite: Address | None
    collectd: Address | None


@dataclass(frozen=True, slots=True)
class Extras:
    """Settings of the features that the operators' file enables; a feature that is disabled has None.

    Attributes:
        signed: settings of the signed-URL front.
        metrics: settings of the metrics export.
        fleet: settings of the fleet membership.
        control: the sources of the command channel.
    """

    signed: SignedFrontSettings | None = None
    metrics: MetricsSettings | None = None
    fleet: FleetSettings | None = None
    control: ControlSettings | None = None


def load_extras(path: Path) -> Extras:
    """Read a file; if it does not exist, all features are off.  Raises ConfigError naming file and key."""
    if not path.exists():
        return Extras()
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        return _read_extras(top, path.parent)
    except (OSError, tomllib.TOMLDecodeError, WireError) as error:
        raise FaultyFileError(path.name, error) from error


def _read_extras(top: SettingsReader, folder: Path) -> Extras:
    """Read the sections that the file has; paths in them are relative to the folder of the file."""
    return Extras(
        signed=read_signed_front(top.section("signed"), folder) if "signed" in top.data else None,
        metrics=_read_metrics(top.section("metrics")) if "metrics" in top.data else None,
        fleet=_read_fleet(top, folder) if "fleet" in top.data else None,
        control=_read_control(top) if "control" in top.data else None,
    )


def _read_fleet(top: SettingsReader, folder: Path) -> FleetSettings:
    from thornjunction.runtime.fleet_settings import read_fleet

    if find_spec("fleet_membership") is None:
        raise MissingPackageError("fleet")
    return read_fleet(top.section("fleet"), folder)


def _read_control(top: SettingsReader) -> ControlSettings:
    from thornjunction.runtime.control_settings import read_control

    if find_spec("control_client") is None:
        raise MissingPackageError("control")
    return read_control(top.section("control"))


def _read_metrics(params: SettingsReader) -> MetricsSettings:
    return MetricsSettings(
        interval_s=max(params.number("interval_s", DEFAULT_METRICS_INTERVAL_S), MIN_METRICS_INTERVAL_S),
        prefix=params.get("prefix", str, DEFAULT_METRICS_PREFIX),
        graphite=_read_target_address(params, "graphite"),
        collectd=_read_target_address(params, "collectd"),
    )


def _read_target_address(params: SettingsReader, name: str) -> Address | None:
    address = params.data.get(name)
    return read_address(f"metrics.{name}", str(address)) if address else None
