"""Key sets (RFC 7517 §5) are accepted completely, or rejected with an error that names the faulty member."""

from __future__ import annotations

import json
import re

import pytest
from joserfc.jwk import ECKey, OctKey

from thornjunction.signing import keyset

HMAC_JWK = {"kid": "k1", "alg": "HS256", **OctKey.import_key("s" * 40).as_dict()}
EC_JWK = {"kid": "k2", "alg": "ES256", **ECKey.generate_key("P-256").as_dict(private=False)}
HMAC_JWK_WITHOUT_KID = {name: value for name, value in HMAC_JWK.items() if name != "kid"}


def encoded_key_set(*keys: dict[str, object]) -> bytes:
    """Return the content of a key set's file."""
    return json.dumps({"keys": list(keys)}).encode()


@pytest.fixture
def key_set() -> keyset.KeySet:
    """Return a set of an HMAC key, which has a date of retirement, and an EC key, which has none."""
    return keyset.parse_key_set(encoded_key_set(HMAC_JWK, EC_JWK), ("ES256", "HS256"), {"k1": 5.0})


def test_keys_are_parsed_with_their_dates_of_retirement(key_set: keyset.KeySet) -> None:
    assert set(key_set.keys) == {"k1", "k2"}
    assert key_set.keys["k1"].retired_after_s == 5.0
    assert key_set.keys["k2"].retired_after_s is None


def test_changes_are_described_by_kid(key_set: keyset.KeySet) -> None:
    changed_keys = {"k3": key_set.keys["k1"]}
    assert keyset.describe_changes(key_set.keys, changed_keys) == "+k3 -k1 -k2"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"{", "not JSON"),
        (encoded_key_set(), "1 to 64"),
        (encoded_key_set(HMAC_JWK | {"alg": "RS256"}), "keys[0].alg"),
        (encoded_key_set(HMAC_JWK | {"alg": "ES256"}), "keys[0].kty"),
        (encoded_key_set(HMAC_JWK, HMAC_JWK), "kid 'k1' twice"),
        (encoded_key_set(HMAC_JWK | {"k": 5}), "keys[0]: not a key"),
        (encoded_key_set(HMAC_JWK_WITHOUT_KID), "keys[0].kid"),
    ],
    ids=["no-json", "empty", "algorithm", "key-type", "kid-twice", "no-key", "no-kid"],
)
def test_a_faulty_set_is_rejected_with_the_faulty_member_in_the_error(data: bytes, reason: str) -> None:
    with pytest.raises(keyset.KeySetError, match=re.escape(reason)):
        keyset.parse_key_set(data, ("ES256", "HS256"), {})
