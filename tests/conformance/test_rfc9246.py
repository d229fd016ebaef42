"""Claims of RFC 9246, one case per line: the section, the token, and the code of its rejection."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from joserfc import jwt
from joserfc.jwk import OctKey

from tests.conformance.tokens import (
    CLAIMS,
    CLIENT_V4,
    CLIENT_V6,
    EC_KEY,
    HASH_CONTAINER,
    HMAC_KEY,
    NOW_S,
    SUBJECT_JWE,
    URI,
    rejection_code,
    signed_token,
    with_claims,
    without_claims,
)
from tests.loopback import KEYS, TRUST
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow


@dataclass(frozen=True, slots=True)
class Case:
    """One token and its expected acceptance or rejection.

    Attributes:
        section: the section of RFC 9246.
        title: the property of the token that is tested.
        token: the token.
        rejection: code of the expected rejection; empty: the token is accepted.
        after_s: time of the check, in seconds after ``NOW_S``.
        client: the client's address.
    """

    section: str
    title: str
    token: str
    rejection: str = ""
    after_s: float = 0.0
    client: str = CLIENT_V4


CASES = [
    Case("2.1.1", "a trusted issuer", with_claims()),
    Case("2.1.1", "an unknown issuer", with_claims(iss="Else"), "token-issuer"),
    Case("2.1.1", "no issuer", without_claims("iss"), "token-issuer"),
    Case("2.1.2", "a subject as JWE", with_claims(sub=SUBJECT_JWE)),
    Case("2.1.2", "a subject in clear text", with_claims(sub="alice"), "token-subject"),
    Case("2.1.3", "our audience", with_claims(aud="tj")),
    Case("2.1.3", "our audience among others", with_claims(aud=["x", "tj"])),
    Case("2.1.3", "another audience", with_claims(aud="x"), "token-audience"),
    Case("2.1.3", "no audience", without_claims("aud"), "token-audience"),
    Case("2.1.4", "before expiry", with_claims(), after_s=59),
    Case("2.1.4", "past expiry within the leeway", with_claims(), after_s=64.9),
    Case("2.1.4", "past expiry and leeway", with_claims(), "token-expired", after_s=65.1),
    Case("2.1.4", "no expiry: required here", without_claims("exp"), "token-exp"),
    Case("2.1.4", "an expiry that is text", with_claims(exp="1060"), "token-exp"),
    Case("2.1.4", "an expiry that is true", with_claims(exp=True), "token-exp"),
    Case("2.1.5", "not before, reached", with_claims(nbf=1000)),
    Case("2.1.5", "not before, early within the leeway", with_claims(nbf=1004)),
    Case("2.1.5", "not before, early past the leeway", with_claims(nbf=1006), "token-early"),
    Case("2.1.6", "issued in the future past the leeway", with_claims(iat=1010), "token-early"),
    Case("2.1.6", "no issued at", without_claims("iat")),
    Case("2.1.7", "an id once", with_claims(jti="one")),
    Case("2.1.7", "an id that is empty", with_claims(jti=""), "token-jti"),
    Case("2.1.7", "an id that is too long", with_claims(jti="j" * 257), "token-jti"),
    Case("2.1.8", "version 1", with_claims(cdniv=1)),
    Case("2.1.8", "no version: 1", without_claims("cdniv")),
    Case("2.1.8", "version 2", with_claims(cdniv=2), "token-version"),
    Case("2.1.8", "version true", with_claims(cdniv=True), "token-version"),
    Case("2.1.9", "critical claims understood", with_claims(cdnicrit="exp,cdniuc, cdniip", cdniip=CLIENT_V4)),
    Case("2.1.9", "an unknown critical claim", with_claims(cdnicrit="cdniuc,cdnixyz"), "token-critical"),
    Case("2.1.9", "critical claims as a list", with_claims(cdnicrit=["exp"]), "token-critical"),
    Case("2.1.10", "the client's v4 address", with_claims(cdniip=CLIENT_V4)),
    Case("2.1.10", "the client's v6 address", with_claims(cdniip=CLIENT_V6), client=CLIENT_V6),
    Case("2.1.10", "v6 in another notation", with_claims(cdniip="2001:0db8:0::7"), client=CLIENT_V6),
    Case("2.1.10", "v4 mapped in v6", with_claims(cdniip="::ffff:192.0.2.9")),
    Case("2.1.10", "another client", with_claims(cdniip="192.0.2.10"), "token-address"),
    Case("2.1.10", "a text that is no address", with_claims(cdniip="here"), "token-address"),
    Case("2.1.11", "no container", without_claims("cdniuc"), "token-container"),
    Case("2.1.11", "a container of an unknown form", with_claims(cdniuc="glob:*"), "token-container"),
    Case("2.1.11", "a container that is no string", with_claims(cdniuc=1), "token-container"),
    Case("2.1.12", "a renewal requested", with_claims(cdniets=30, cdnistt=1)),
    Case("2.1.12", "a renewal time below 0", with_claims(cdniets=-1, cdnistt=1), "token-renewal"),
    Case("2.1.12", "a renewal time without transport", with_claims(cdniets=30), "token-renewal"),
    Case("2.1.13", "a transport without a time", with_claims(cdnistt=1), "token-renewal"),
    Case("2.1.13", "transport by query", with_claims(cdniets=30, cdnistt=2), "token-transport"),
    Case("2.1.13", "transport 0, reserved", with_claims(cdniets=30, cdnistt=0), "token-transport"),
    Case("2.1.14", "a depth", with_claims(cdniets=30, cdnistt=1, cdnistd=2)),
    Case("2.1.14", "a depth that is text", with_claims(cdnistd="2"), "token-renewal"),
    Case(
        "2.1.15.1",
        "the hash of another URI",
        with_claims(cdniuc="hash:" + tokens.uri_hash(URI + "x")),
        "token-path",
    ),
    Case("2.1.15.1", "a truncated hash", with_claims(cdniuc=HASH_CONTAINER[:-2]), "token-path"),
    Case("2.1.15.2", "a pattern that matches", with_claims(cdniuc=r"regex:https://cams\.example/films/.*")),
    Case(
        "2.1.15.2", "a pattern that matches only a part", with_claims(cdniuc=r"regex:/films/.*"), "token-path"
    ),
    Case("2.1.15.2", "a malformed pattern", with_claims(cdniuc="regex:("), "token-container"),
    Case("2.1.15.2", "a pattern too long", with_claims(cdniuc="regex:" + "a" * 600), "token-container"),
    Case("2.1.15.2", "a back reference, not POSIX", with_claims(cdniuc=r"regex:(h)\1.*"), "token-container"),
    Case("2.2", "an older key that is still accepted", signed_token(CLAIMS, kid="old", key=KEYS["old"].key)),
    Case("2.2", "a retired key", signed_token(CLAIMS, kid="retired"), "token-key-retired"),
    Case("2.2", "an unknown kid", signed_token(CLAIMS, kid="else"), "token-key"),
    Case("2.2", "no kid", jwt.encode({"alg": "HS256"}, CLAIMS, HMAC_KEY), "token-key"),
    Case("2.2", "alg none", "eyJhbGciOiJub25lIiwia2lkIjoibmV3In0.e30.", "token-forged"),
    Case(
        "2.2",
        "an EC signature for an HMAC kid",
        signed_token(CLAIMS, alg="ES256", key=EC_KEY),
        "token-forged",
    ),
    Case("2.2", "a forged signature", with_claims()[:-4] + "AAAA", "token-forged"),
    Case("2.2", "a token 1 MB long", "e" * (1 << 20), "token-size"),
    Case("5", "the payload is no object", "eyJhbGciOiJIUzI1NiIsImtpZCI6Im5ldyJ9.WzFd.x", "token-forged"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case.section} {case.title}")
def test_verification_follows_rfc_9246(case: Case) -> None:
    assert rejection_code(case.token, NOW_S + case.after_s, case.client) == case.rejection


@pytest.fixture
def ec_trust() -> tokens.Trust:
    """Return trust in one EC key, with HMAC among the accepted algorithms."""
    keys = {"ec": tokens.SigningKey("ec", "ES256", EC_KEY)}
    return tokens.Trust(TRUST.issuers, "tj", ("ES256", "HS256"), keys, "ec")


def test_a_public_key_is_not_accepted_as_hmac_secret(ec_trust: tokens.Trust) -> None:
    """§2.2 and RFC 8725 §2.1: an HMAC with the public key's bytes as secret and the kid of the EC key."""
    public_key = EC_KEY.as_dict(private=False)
    forged_token = signed_token(CLAIMS, kid="ec", key=OctKey.import_key(str(public_key).encode() * 2))
    with pytest.raises(tokens.TokenError, match="token-key"):
        tokens.verify(forged_token, URI, ec_trust, ReplayWindow(), NOW_S)


def test_a_token_of_the_ec_key_is_accepted(ec_trust: tokens.Trust) -> None:
    token = signed_token(CLAIMS, kid="ec", alg="ES256", key=EC_KEY)
    assert tokens.verify(token, URI, ec_trust, ReplayWindow(), NOW_S)
