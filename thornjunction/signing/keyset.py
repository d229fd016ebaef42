"""Key sets, replaceable at run time: a JSON Web Key Set (RFC 7517 §5) is accepted completely or rejected.

Each key has a ``kid`` and exactly one ``alg`` (§4.4, §4.5) and is used for no other algorithm, so that an
HMAC secret is never taken for a public key.  Operators retire a key by a date for its ``kid`` in a file of
their own.  The module does no I/O: the caller reads the file and passes its bytes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey

from thornjunction.settings import WireError, parse_json
from thornjunction.signing.tokens import Key, SigningKey

# Greatest number of keys in a set: several times what a rotation needs, so that a wrong file costs little.
MAX_KEYS = 64

# Greatest size of a key set's file; ``MAX_KEYS`` keys with certificate chains are smaller.
MAX_FILE_BYTES = 1 << 20

# Greatest length of a ``kid``, which is part of each log line about a key.
MAX_KID_CHARACTERS = 64

# Number of hex digits of the SHA-256 that identifies a version of the file.
DIGEST_HEX_DIGITS = 16


@dataclass(frozen=True, slots=True)
class KeyType:
    """The ``kty`` of an algorithm's keys (RFC 7518 §6.1), and the class that imports them."""

    name: str
    importer: type[ECKey] | type[OctKey]


# Key type by supported ``alg``.
KEY_TYPES: dict[str, KeyType] = {"ES256": KeyType("EC", ECKey), "HS256": KeyType("oct", OctKey)}


class KeySetError(Exception):
    """A key set was rejected; the keys in use do not change.

    The text names the faulty member, with its index in ``keys``, and never contains a key.
    """

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"key set: {member}{reason}")


@dataclass(frozen=True, slots=True)
class KeySet:
    """One version of a key set's file.

    Attributes:
        keys: the keys by ``kid``.
        digest: start of the file's SHA-256, which identifies the version in the log.
    """

    keys: Mapping[str, SigningKey]
    digest: str


def parse_key_set(data: bytes, allowed: tuple[str, ...], retired_after_s: Mapping[str, float]) -> KeySet:
    """Parse a key set.

    Args:
        data: content of the file.
        allowed: algorithms that keys may have.
        retired_after_s: by ``kid``, the Unix second after which a key's tokens are rejected.

    Raises:
        KeySetError: the set is malformed, or a key is invalid; the text names the first such key.
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
        raise KeySetError(member, ".kid: missing, empty or too long")
    algorithm = entry.get("alg")
    if algorithm not in allowed or algorithm not in KEY_TYPES:
        raise KeySetError(member, f".alg: not among {', '.join(allowed)}")
    key_type = KEY_TYPES[algorithm]
    if entry.get("kty") != key_type.name or entry.get("use", "sig") != "sig":
        raise KeySetError(member, f".kty: not {key_type.name} for signatures")
    try:
        key: Key = key_type.importer.import_key(entry)
    except (JoseError, ValueError, TypeError, KeyError) as error:
        # The message omits the error's text, which may contain the key.
        raise KeySetError(member, ": not a key") from error
    return SigningKey(kid, algorithm, key, retired_after_s.get(kid))


def describe_changes(before: Mapping[str, SigningKey], after: Mapping[str, SigningKey]) -> str:
    """Return the added and removed kids for the log, as ``+a -b``; ``same`` if there are none."""
    changes = [f"+{kid}" for kid in sorted(after.keys() - before.keys())]
    changes += [f"-{kid}" for kid in sorted(before.keys() - after.keys())]
    return " ".join(changes) or "same"
