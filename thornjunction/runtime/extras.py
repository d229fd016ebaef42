"""The operators' own file under deploy/: read, checked and given defaults; messages name the faulty key.
Imported only where there is such a file: its libraries cost a router that has none nothing."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from datetime import datetime
from importlib.util import find_spec
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING, Any

from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey

from thornjunction.runtime.config import ConfigError, address_of
from thornjunction.settings import SettingsReader, WireError, parse_json
from thornjunction.signing import keyset
from thornjunction.signing.address import Forwarding
from thornjunction.signing.replay import ReplayWindow
from thornjunction.signing.tokens import ALGORITHMS, Key, SigningKey, Trust

if TYPE_CHECKING:
    from thornjunction.runtime.control_settings import ControlSettings
    from thornjunction.runtime.fleet_settings import FleetSettings


@dataclass(frozen=True, slots=True)
class KeySource:
    """A key set file (RFC 7517 §5), the operators' retirement dates by kid, and how often it is read."""

    path: Path
    retire: dict[str, float]
    every_s: float

    def read(self, algorithms: tuple[str, ...]) -> keyset.KeySet:
        """The file's keys; ConfigError, naming the file and the first fault, otherwise."""
        try:
            return keyset.parse_key_set(self.path.read_bytes(), algorithms, self.retire)
        except OSError as error:
            raise ConfigError(f"signed.keyset: {self.path.name}: {error.strerror}") from error
        except keyset.KeySetError as error:
            raise ConfigError(f"signed.keyset: {self.path.name}: {error}") from error


@dataclass(frozen=True, slots=True)
class SignedFront:
    """Where the second front listens, whose tokens it takes, and what it keeps of them."""

    listen: tuple[str, int]
    base: str
    trust: Trust
    replays: ReplayWindow
    forwarding: Forwarding = Forwarding()
    keyset: KeySource | None = None
    gossip: GossipPeers | None = None
    tls: TlsFiles | None = None


class TlsError(ConfigError):
    """A pair that can't serve: the reason, never the key's text."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of a certificate chain and its private key, and how often they are read (seconds)."""

    cert: Path
    key: Path
    every_s: float = 60.0


@dataclass(frozen=True, slots=True)
class GossipPeers:
    """Where this router hears its peers' taken tokens, whom it tells, and the fleet's secret (not shown)."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class MetricsTargets:
    """Where figures go, and how often."""

    interval_s: float
    prefix: str
    graphite: tuple[str, int] | None
    collectd: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Extras:
    """What the operators' file under deploy/ turns on; off where there is no file."""

    signed: SignedFront | None = None
    metrics: MetricsTargets | None = None
    fleet: FleetSettings | None = None
    control: ControlSettings | None = None


def load_extras(path: Path) -> Extras:
    """The extras of a file; none if it does not exist.  ConfigError names the file and the key."""
    if not path.exists():
        return Extras()
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        return Extras(
            signed=_signed(top, path.parent) if "signed" in top.data else None,
            metrics=_metrics(top.section("metrics")) if "metrics" in top.data else None,
            fleet=_fleet(top, path.parent) if "fleet" in top.data else None,
            control=_control(top) if "control" in top.data else None,
        )
    except (OSError, tomllib.TOMLDecodeError, WireError) as error:
        raise ConfigError(f"{path.name}: {error}") from error


def _fleet(top: SettingsReader, folder: Path) -> FleetSettings:
    from thornjunction.runtime.fleet_settings import read_fleet

    if find_spec("fleet_membership") is None:
        raise ConfigError("fleet: its packages are not installed (packages/)")
    return read_fleet(top.section("fleet"), folder)


def _control(top: SettingsReader) -> ControlSettings:
    from thornjunction.runtime.control_settings import read_control

    if find_spec("control_client") is None:
        raise ConfigError("control: its packages are not installed (packages/)")
    return read_control(top.section("control"))


def _signed(top: SettingsReader, folder: Path) -> SignedFront:
    front = top.section("signed")
    listen = address_of("signed.listen", front.get("listen", str))
    if not ip_address(listen[0]).is_loopback:
        raise ConfigError("signed.listen: not a loopback address")
    base = front.get("base", str)
    if not base.startswith(("http://", "https://")) or base.count("/") != 2:
        raise ConfigError("signed.base: not a scheme and a host")
    source = _key_source(front, folder) if "keyset" in front.data else None
    trust = _trust(front, folder, source)
    gossip = _gossip(front.section("gossip"), folder) if "gossip" in front.data else None
    tls = _tls(front.section("tls"), folder) if "tls" in front.data else None
    return SignedFront(listen, base, trust, _replays(front), _forwarding(front), source, gossip, tls)


def _tls(params: SettingsReader, folder: Path) -> TlsFiles:
    files = TlsFiles(
        folder / params.get("cert", str), folder / params.get("key", str), params.number("every_s", 60)
    )
    for path in (files.cert, files.key):
        if not path.is_file():
            raise ConfigError(f"signed.tls: no file {path.name}")
    if not 1.0 <= files.every_s <= 86_400.0:
        raise ConfigError("signed.tls.every_s: not within 1 s and a day")
    if find_spec("OpenSSL") is None:
        raise ConfigError("signed.tls: pyOpenSSL is not installed (requirements-tls.txt)")
    return files


def _gossip(params: SettingsReader, folder: Path) -> GossipPeers:
    peers = tuple(address_of("signed.gossip.peers", str(peer)) for peer in params.get("peers", list))
    try:
        secret = (folder / params.get("secret_file", str)).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"signed.gossip.secret_file: {error.strerror}") from error
    if len(secret) < 32 or not peers:
        raise ConfigError("signed.gossip: a secret of 32 bytes or more, and one peer or more, are needed")
    return GossipPeers(address_of("signed.gossip.listen", params.get("listen", str)), peers, secret)


def _key_source(front: SettingsReader, folder: Path) -> KeySource:
    retire = front.data.get("retire", {})
    if not isinstance(retire, dict) or not all(isinstance(at, datetime) for at in retire.values()):
        raise ConfigError("signed.retire: not a table of kid = date and time")
    every_s = front.number("keys_every_s", 60.0)
    if not 1.0 <= every_s <= 86_400.0:
        raise ConfigError("signed.keys_every_s: not within 1 s and a day")
    return KeySource(
        folder / front.get("keyset", str), {k: at.timestamp() for k, at in retire.items()}, every_s
    )


def _replays(front: SettingsReader) -> ReplayWindow:
    cap_mb, horizon_s = front.number("replay_cap_mb", 8.0), front.number("replay_horizon_s", 86_400.0)
    if not 0.01 <= cap_mb <= 4096 or not 60.0 <= horizon_s <= 30 * 86_400.0:
        raise ConfigError(
            "signed.replay_cap_mb, replay_horizon_s: not within 0.01 to 4096 MB, 60 s to 30 days"
        )
    return ReplayWindow(int(cap_mb * (1 << 20)), max(horizon_s / 8640, 1.0), horizon_s)


def _forwarding(front: SettingsReader) -> Forwarding:
    told = front.data.get("forwarding", {})
    try:
        return Forwarding(str(told.get("header", "")).lower(), tuple(told.get("trusted", ())))
    except (ValueError, AttributeError, TypeError) as error:
        raise ConfigError(f"signed.forwarding: {error}") from error


def _trust(front: SettingsReader, folder: Path, source: KeySource | None) -> Trust:
    algorithms = tuple(front.get("algorithms", list))
    if not algorithms or not set(algorithms) <= set(ALGORITHMS):
        raise ConfigError(f"signed.algorithms: not a list of {', '.join(ALGORITHMS)}")
    if source is not None:
        keys = list(source.read(algorithms).keys.values())
    else:
        keys = [_key(data, place, folder, algorithms) for place, data in enumerate(front.get("keys", list))]
    trust = Trust(
        issuers=frozenset(front.get("issuers", list)),
        audience=front.get("audience", str),
        algorithms=algorithms,
        keys={key.kid: key for key in keys},
        sign_with=front.get("sign_with", str),
        skew_s=front.number("skew_s", 5.0),
    )
    if not trust.issuers:
        raise ConfigError("signed.issuers: empty")
    if trust.sign_with not in trust.keys or len(trust.keys) < len(keys):
        raise ConfigError("signed.sign_with: names no key, or two keys have one kid")
    return trust


def _key(data: Any, place: int, folder: Path, algorithms: tuple[str, ...]) -> SigningKey:
    name = f"signed.keys[{place}]"
    params = SettingsReader(data, f"{name}.")
    algorithm, until = params.get("algorithm", str), params.data.get("until")
    if algorithm not in algorithms:
        raise ConfigError(f"{name}.algorithm: not among signed.algorithms")
    if until is not None and not isinstance(until, datetime):
        raise ConfigError(f"{name}.until: not a date and time")
    try:
        told = parse_json((folder / params.get("file", str)).read_bytes())
        key: Key = ECKey.import_key(told) if algorithm == "ES256" else OctKey.import_key(told)
    except (OSError, WireError, JoseError, ValueError, TypeError, KeyError) as error:
        raise ConfigError(f"{name}.file: no such JSON Web Key") from error  # its text must not be shown
    return SigningKey(params.get("kid", str), algorithm, key, until.timestamp() if until else None)


def _metrics(params: SettingsReader) -> MetricsTargets:
    targets = {name: params.data.get(name) for name in ("graphite", "collectd")}
    addresses = {n: address_of(f"metrics.{n}", str(told)) if told else None for n, told in targets.items()}
    return MetricsTargets(
        interval_s=max(params.number("interval_s", 10.0), 0.1),
        prefix=params.get("prefix", str, "thornjunction"),
        graphite=addresses["graphite"],
        collectd=addresses["collectd"],
    )
