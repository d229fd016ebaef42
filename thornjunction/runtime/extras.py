"""The operators' own file under deploy/: read, checked and given defaults; messages name the faulty key.

Imported only where there is such a file: its libraries cost a router that has none nothing.
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

# Shortest export interval; a shorter one is taken as this.
MIN_METRICS_INTERVAL_S = 0.1

# Prefix of the metrics' names, unless configured.
DEFAULT_METRICS_PREFIX = "thornjunction"


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Export of metrics.

    Attributes:
        interval_s: time between two exports.
        prefix: prefix of their names in Graphite.
        graphite: address of Graphite; None: not exported to it.
        collectd: address of collectd; None: not exported to it.
    """

    interval_s: float
    prefix: str
    graphite: Address | None
    collectd: Address | None


@dataclass(frozen=True, slots=True)
class Extras:
    """The features that the operators' file turns on; all are off where there is no file.

    Attributes:
        signed: the signed-URL front.
        metrics: the export of metrics.
        fleet: the membership of a fleet.
        control: the sources of the command channel.
    """

    signed: SignedFrontSettings | None = None
    metrics: MetricsSettings | None = None
    fleet: FleetSettings | None = None
    control: ControlSettings | None = None


def load_extras(path: Path) -> Extras:
    """Read a file; all is off where it does not exist.  Raises ConfigError, naming the file and the key."""
    if not path.exists():
        return Extras()
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        return _read(top, path.parent)
    except (OSError, tomllib.TOMLDecodeError, WireError) as error:
        raise FaultyFileError(path.name, error) from error


def _read(top: SettingsReader, folder: Path) -> Extras:
    """Read the sections that the file has; paths in them are relative to its folder."""
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
        graphite=_target(params, "graphite"),
        collectd=_target(params, "collectd"),
    )


def _target(params: SettingsReader, name: str) -> Address | None:
    address = params.data.get(name)
    return read_address(f"metrics.{name}", str(address)) if address else None
