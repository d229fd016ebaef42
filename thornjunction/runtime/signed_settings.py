"""Reads and checks the ``[signed]`` section of the operators' file, which configures the signed-URL front."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime
from importlib.util import find_spec
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey

from thornjunction.runtime.addresses import Address, read_address
from thornjunction.runtime.errors import FaultyKeyError
from thornjunction.settings import SettingsReader, WireError, parse_json
from thornjunction.signing import keyset
from thornjunction.signing.address import Forwarding
from thornjunction.signing.replay import ReplayWindow
from thornjunction.signing.tokens import ALGORITHMS, Key, SigningKey, Trust

# Time between two reads of the key set or the TLS files, unless configured.
DEFAULT_RELOAD_INTERVAL_S = 60.0

# Shortest reload interval that may be configured.
MIN_RELOAD_INTERVAL_S = 1.0

# Longest reload interval that may be configured: a day.
MAX_RELOAD_INTERVAL_S = 86_400.0

# Smallest size of the gossip's secret: the size of the digest that is keyed with it.
MIN_GOSSIP_SECRET_BYTES = 32

# Bytes in a megabyte; the operators' file uses binary megabytes.
BYTES_PER_MB = 1 << 20

# Memory limit of the replay window, unless configured.
DEFAULT_REPLAY_CAPACITY_MB = 8.0

# Smallest memory limit of the replay window that may be configured.
MIN_REPLAY_CAPACITY_MB = 0.01

# Greatest memory limit of the replay window that may be configured.
MAX_REPLAY_CAPACITY_MB = 4096.0

# Longest lifetime of a token with a ``jti``, unless configured: a day.
DEFAULT_REPLAY_HORIZON_S = 86_400.0

# Shortest replay horizon that may be configured.
MIN_REPLAY_HORIZON_S = 60.0

# Longest replay horizon that may be configured: 30 days.
MAX_REPLAY_HORIZON_S = 30 * 86_400.0

# Number of time slices of the replay horizon; ids expire one slice at a time.
REPLAY_SLICES = 8640

# Shortest time slice of the replay horizon.
MIN_REPLAY_SLICE_S = 1.0

# Tolerated difference from an issuer's clock in seconds, unless configured.
DEFAULT_CLOCK_SKEW_S = 5.0


@dataclass(frozen=True, slots=True)
class KeySetFile:
    """A key set file (RFC 7517 §5).

    Attributes:
        path: path of the file.
        retire: retirement times of keys that the operators set, in Unix seconds, by kid.
        reload_interval_s: time between two reads of the file.
    """

    path: Path
    retire: Mapping[str, float]
    reload_interval_s: float

    def read(self, algorithms: tuple[str, ...]) -> keyset.KeySet:
        """Read the keys from the file.  Raises ConfigError, which names the file and the first fault."""
        key = f"signed.keyset: {self.path.name}"
        try:
            return keyset.parse_key_set(self.path.read_bytes(), algorithms, dict(self.retire))
        except OSError as error:
            raise FaultyKeyError(key, error.strerror) from error
        except keyset.KeySetError as error:
            raise FaultyKeyError(key, error) from error


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of a certificate chain and its private key.

    Attributes:
        cert: path of the certificate chain.
        key: path of the private key.
        reload_interval_s: time between two reads of them.
    """

    cert: Path
    key: Path
    reload_interval_s: float = DEFAULT_RELOAD_INTERVAL_S


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings for the exchange of ids of accepted tokens with other routers.

    Attributes:
        listen: the address where this router receives ids from the others.
        peers: addresses of the other routers.
        secret: the secret that all these routers share.
    """

    listen: Address
    peers: tuple[Address, ...]
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class SignedFrontSettings:
    """Settings of the signed-URL front.

    Attributes:
        listen: the address on which the front listens.
        base: scheme and authority with which the signed URIs begin.
        trust: the issuers, audience, algorithms and keys whose tokens the front accepts.
        replay_window: the ids of tokens that the front has accepted.
        forwarding: the proxies whose header may give a client's address.
        keyset: the key set file, or None if each key has a file of its own.
        gossip: the exchange of accepted ids, or None if it is off.
        tls: the TLS files, or None if TLS is off.
    """

    listen: Address
    base: str
    trust: Trust
    replay_window: ReplayWindow
    forwarding: Forwarding = field(default_factory=Forwarding)
    keyset: KeySetFile | None = None
    gossip: GossipSettings | None = None
    tls: TlsFiles | None = None


def read_signed_front(params: SettingsReader, folder: Path) -> SignedFrontSettings:
    """Read the section, in which paths are relative to the folder.  Raises ConfigError or WireError."""
    listen = read_address("signed.listen", params.get("listen", str))
    if not ip_address(listen.host).is_loopback:
        raise FaultyKeyError("signed.listen", "not a loopback address")
    base = params.get("base", str)
    if not base.startswith(("http://", "https://")) or base.count("/") != len("//"):
        raise FaultyKeyError("signed.base", "not a scheme and a host without a path")
    key_set = _read_key_set(params, folder) if "keyset" in params.data else None
    return SignedFrontSettings(
        listen,
        base,
        _read_trust(params, folder, key_set),
        keyset=key_set,
        gossip=_read_gossip(params.section("gossip"), folder) if "gossip" in params.data else None,
        tls=_read_tls(params.section("tls"), folder) if "tls" in params.data else None,
        replay_window=_read_replay_window(params),
        forwarding=_read_forwarding(params),
    )


def _read_tls(params: SettingsReader, folder: Path) -> TlsFiles:
    files = TlsFiles(
        cert=folder / params.get("cert", str),
        key=folder / params.get("key", str),
        reload_interval_s=params.number("every_s", DEFAULT_RELOAD_INTERVAL_S),
    )
    for path in (files.cert, files.key):
        if not path.is_file():
            raise FaultyKeyError("signed.tls", f"no file {path.name}")
    _check_reload_interval("signed.tls.every_s", files.reload_interval_s)
    if find_spec("OpenSSL") is None:
        raise FaultyKeyError("signed.tls", "pyOpenSSL is not installed (requirements-tls.txt)")
    return files


def _read_gossip(params: SettingsReader, folder: Path) -> GossipSettings:
    peers = tuple(read_address("signed.gossip.peers", str(peer)) for peer in params.get("peers", list))
    try:
        secret = (folder / params.get("secret_file", str)).read_bytes().strip()
    except OSError as error:
        raise FaultyKeyError("signed.gossip.secret_file", error.strerror) from error
    if len(secret) < MIN_GOSSIP_SECRET_BYTES or not peers:
        problem = f"needs a secret of at least {MIN_GOSSIP_SECRET_BYTES} bytes and at least one peer"
        raise FaultyKeyError("signed.gossip", problem)
    return GossipSettings(read_address("signed.gossip.listen", params.get("listen", str)), peers, secret)


def _read_key_set(params: SettingsReader, folder: Path) -> KeySetFile:
    retire = params.data.get("retire", {})
    if not isinstance(retire, dict) or not all(isinstance(when, datetime) for when in retire.values()):
        raise FaultyKeyError("signed.retire", "not a table of entries kid = date and time")
    reload_interval_s = params.number("keys_every_s", DEFAULT_RELOAD_INTERVAL_S)
    _check_reload_interval("signed.keys_every_s", reload_interval_s)
    path = folder / params.get("keyset", str)
    return KeySetFile(path, {kid: when.timestamp() for kid, when in retire.items()}, reload_interval_s)


def _check_reload_interval(key: str, interval_s: float) -> None:
    if not MIN_RELOAD_INTERVAL_S <= interval_s <= MAX_RELOAD_INTERVAL_S:
        raise FaultyKeyError(key, "not between 1 s and 1 day")


def _read_replay_window(params: SettingsReader) -> ReplayWindow:
    capacity_mb = params.number("replay_cap_mb", DEFAULT_REPLAY_CAPACITY_MB)
    horizon_s = params.number("replay_horizon_s", DEFAULT_REPLAY_HORIZON_S)
    capacity_fits = MIN_REPLAY_CAPACITY_MB <= capacity_mb <= MAX_REPLAY_CAPACITY_MB
    horizon_fits = MIN_REPLAY_HORIZON_S <= horizon_s <= MAX_REPLAY_HORIZON_S
    if not capacity_fits or not horizon_fits:
        keys = "signed.replay_cap_mb, replay_horizon_s"
        raise FaultyKeyError(keys, "must be 0.01 to 4096 MB and 60 s to 30 days")
    slice_s = max(horizon_s / REPLAY_SLICES, MIN_REPLAY_SLICE_S)
    return ReplayWindow(int(capacity_mb * BYTES_PER_MB), slice_s, horizon_s)


def _read_forwarding(params: SettingsReader) -> Forwarding:
    forwarding = params.data.get("forwarding", {})
    try:
        return Forwarding(str(forwarding.get("header", "")).lower(), tuple(forwarding.get("trusted", ())))
    except (ValueError, AttributeError, TypeError) as error:
        raise FaultyKeyError("signed.forwarding", error) from error


def _read_trust(params: SettingsReader, folder: Path, key_set: KeySetFile | None) -> Trust:
    algorithms = tuple(params.get("algorithms", list))
    if not algorithms or not set(algorithms) <= set(ALGORITHMS):
        raise FaultyKeyError("signed.algorithms", f"not a list of {', '.join(ALGORITHMS)}")
    keys = _read_keys(params, folder, key_set, algorithms)
    trust = Trust(
        issuers=frozenset(params.get("issuers", list)),
        audience=params.get("audience", str),
        algorithms=algorithms,
        keys={key.kid: key for key in keys},
        sign_with=params.get("sign_with", str),
        skew_s=params.number("skew_s", DEFAULT_CLOCK_SKEW_S),
    )
    if not trust.issuers:
        raise FaultyKeyError("signed.issuers", "empty")
    if trust.sign_with not in trust.keys or len(trust.keys) < len(keys):
        raise FaultyKeyError("signed.sign_with", "names no key, or two keys have the same kid")
    return trust


def _read_keys(
    params: SettingsReader, folder: Path, key_set: KeySetFile | None, algorithms: tuple[str, ...]
) -> list[SigningKey]:
    """Read the keys from the key set file, or from the file that the section lists for each key."""
    if key_set is not None:
        return list(key_set.read(algorithms).keys.values())
    return [
        _read_key(SettingsReader(data, f"signed.keys[{index}]."), folder, algorithms)
        for index, data in enumerate(params.get("keys", list))
    ]


def _read_key(params: SettingsReader, folder: Path, algorithms: tuple[str, ...]) -> SigningKey:
    algorithm = params.get("algorithm", str)
    until = params.data.get("until")
    if algorithm not in algorithms:
        raise FaultyKeyError(f"{params.path}algorithm", "not among signed.algorithms")
    if until is not None and not isinstance(until, datetime):
        raise FaultyKeyError(f"{params.path}until", "not a date and time")
    try:
        key = _import_key(algorithm, parse_json((folder / params.get("file", str)).read_bytes()))
    except (OSError, WireError, JoseError, ValueError, TypeError, KeyError) as error:
        # The text of the original error may contain the key, which must not be shown.
        raise FaultyKeyError(
            f"{params.path}file", "missing, or not a JSON Web Key for this algorithm"
        ) from error
    return SigningKey(params.get("kid", str), algorithm, key, until.timestamp() if until else None)


def _import_key(algorithm: str, jwk: Any) -> Key:
    if algorithm == "ES256":
        return ECKey.import_key(jwk)
    return OctKey.import_key(jwk)
