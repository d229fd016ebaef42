"""Keys that change in service: a JSON Web Key Set (RFC 7517 §5), accepted as a whole or rejected.

Each key names its ``kid`` and its one ``alg`` (§4.4, §4.5), so that no key serves another algorithm than its
own: an HMAC secret is never taken for a public key.  Operators retire a key by a date for its ``kid`` in
their own file.  No I/O: the caller reads the file and passes its bytes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey

from thornjunction.settings import WireError, parse_json
from thornjunction.signing.tokens import Key, SigningKey

# Keys in a set: some times more than a rotation needs, so that a wrong file stays cheap.
MAX_KEYS = 64

# Size of a key set's file: ``MAX_KEYS`` keys with certificate chains stay below it.
MAX_FILE_BYTES = 1 << 20

# Length of a ``kid``, which each log line on a key carries.
MAX_KID_CHARACTERS = 64

# Hex digits of SHA-256 that tell one version of a file from another.
DIGEST_HEX_DIGITS = 16


@dataclass(frozen=True, slots=True)
class KeyType:
    """The ``kty`` that an algorithm's keys have (RFC 7518 §6.1), and the class that imports them."""

    name: str
    importer: type[ECKey] | type[OctKey]


# The type of key that each supported ``alg`` needs.
KEY_TYPES: dict[str, KeyType] = {"ES256": KeyType("EC", ECKey), "HS256": KeyType("oct", OctKey)}


class KeySetError(Exception):
    """A key set was rejected, and the keys in use stay.

    The text names the faulty member, with its index in ``keys``, and never contains a key.
    """

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"key set: {member}{reason}")


@dataclass(frozen=True, slots=True)
class KeySet:
    """One version of a key set's file.

    Attributes:
        keys: its keys by ``kid``.
        digest: identifies the version in the log.
    """

    keys: Mapping[str, SigningKey]
    digest: str


def parse_key_set(data: bytes, allowed: tuple[str, ...], retired_after_s: Mapping[str, float]) -> KeySet:
    """Parse a key set.

    Args:
        data: the file's content.
        allowed: algorithms that a key may have.
        retired_after_s: by ``kid``, the Unix second after which a key's tokens are rejected.

    Raises:
        KeySetError: names the first key that is wrong, by its index.
    """
    keys: dict[str, SigningKey] = {}
    for index, entry in enumerate(_parse_entries(data)):
        key = _parse_key(entry, f"keys[{index}]", allowed, retired_after_s)
        if key.kid in keys:
            raise KeySetError(f"keys[{index}]", f": kid {key.kid!r} twice")
        keys[key.kid] = key
    return KeySet(keys, hashlib.sha256(data).hexdigest()[:DIGEST_HEX_DIGITS])


def _parse_entries(data: bytes) -> list[object]:
    if len(data) > MAX_FILE_BYTES:
        raise KeySetError("", "over 1 MiB")
    try:
        document = parse_json(data)
    except WireError as error:
        raise KeySetError("", "not JSON") from error
    entries = document.get("keys") if isinstance(document, dict) else None
    if not isinstance(entries, list) or not 0 < len(entries) <= MAX_KEYS:
        raise KeySetError("'keys'", f" is not a list of 1 to {MAX_KEYS} keys")
    return entries


def _parse_key(
    entry: object, member: str, allowed: tuple[str, ...], retired_after_s: Mapping[str, float]
) -> SigningKey:
    if not isinstance(entry, dict):
        raise KeySetError(member, ": not an object")
    kid = entry.get("kid")
    if not isinstance(kid, str) or not 0 < len(kid) <= MAX_KID_CHARACTERS:
        raise KeySetError(member, ".kid: missing")
    algorithm = entry.get("alg")
    if algorithm not in allowed or algorithm not in KEY_TYPES:
        raise KeySetError(member, f".alg: not among {', '.join(allowed)}")
    key_type = KEY_TYPES[algorithm]
    if entry.get("kty") != key_type.name or entry.get("use", "sig") != "sig":
        raise KeySetError(member, f".kty: not {key_type.name} for signatures")
    try:
        key: Key = key_type.importer.import_key(entry)
    except (JoseError, ValueError, TypeError, KeyError) as error:
        raise KeySetError(member, ": not a key") from error  # the cause's text may contain the key
    return SigningKey(kid, algorithm, key, retired_after_s.get(kid))


def describe_changes(before: Mapping[str, SigningKey], after: Mapping[str, SigningKey]) -> str:
    """Kids added and removed, for the log, as ``+a -b``; ``same`` where there are none."""
    changes = [f"+{kid}" for kid in sorted(after.keys() - before.keys())]
    changes += [f"-{kid}" for kid in sorted(before.keys() - after.keys())]
    return " ".join(changes) or "same"
