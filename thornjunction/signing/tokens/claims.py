"""Checks of the claims that do not depend on the URI, the client or earlier tokens."""

from __future__ import annotations

from thornjunction.signing.tokens.trust import COOKIE, Claims, TokenError, Trust

# Greatest length of a claim that is a text (``jti``).
MAX_TEXT_CHARACTERS = 256

# Bound on the numbers in claims, below which a double represents each second exactly.
NUMBER_BOUND = 1e15

# Bound on the values of ``RENEWAL_CLAIMS``.
RENEWAL_CLAIM_BOUND = 1 << 31

# Claims of RFC 7519 that are understood.
REGISTERED_CLAIMS = frozenset(("iss", "sub", "aud", "exp", "nbf", "iat", "jti"))

# Claims of RFC 9246 that are understood.
URI_SIGNING_CLAIMS = frozenset(
    ("cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd"),
)

# Claims that ``cdnicrit`` may list.
UNDERSTOOD_CLAIMS = REGISTERED_CLAIMS | URI_SIGNING_CLAIMS

# Claims of RFC 9246 that describe the renewal of a token; their values are integers.
RENEWAL_CLAIMS = ("cdniets", "cdnistt", "cdnistd")

# Number of parts of a subject, which is a JWE in compact serialization (§2.1.2).
JWE_PARTS = 5


def check_times(claims: Claims, skew_s: float, now_s: float) -> None:
    """Check expiry (§2.1.4), start of validity (§2.1.5) and time of issue (§2.1.6).

    Raises:
        TokenError: the token has expired or is not valid yet, or one of these claims is not a number.
    """
    if now_s > _number_claim(claims, "exp", None) + skew_s:
        raise TokenError(401, "token-expired")
    for name in ("nbf", "iat"):
        if now_s < _number_claim(claims, name, 0.0) - skew_s:
            raise TokenError(401, "token-early")


def check_parties(claims: Claims, trust: Trust) -> None:
    """Check issuer (§2.1.1), subject (§2.1.2) and audience (§2.1.3).

    The subject is encrypted for the origin, so that only its form is checked.

    Raises:
        TokenError: one of them is missing, malformed or not accepted.
    """
    if claims.get("iss") not in trust.issuers:
        raise TokenError(403, "token-issuer")
    subject = claims.get("sub", "a.b.c.d.e")
    if not isinstance(subject, str) or len(subject.split(".")) != JWE_PARTS:
        raise TokenError(403, "token-subject")
    audience = claims.get("aud")
    audiences = audience if isinstance(audience, list) else [audience]
    if trust.audience not in audiences:
        raise TokenError(403, "token-audience")


def check_understood(claims: Claims) -> None:
    """Check that the version (§2.1.8) and each critical claim (§2.1.9) is understood.

    Raises:
        TokenError: one of them is not understood or is malformed.
    """
    version = claims.get("cdniv", 1)
    if version != 1 or isinstance(version, bool):
        raise TokenError(403, "token-version")
    critical = claims.get("cdnicrit", "")
    if not isinstance(critical, str):
        raise TokenError(403, "token-critical")
    names = {name.strip() for name in critical.split(",") if name}
    if not UNDERSTOOD_CLAIMS.issuperset(names):
        raise TokenError(403, "token-critical")


def check_renewal(claims: Claims) -> None:
    """Check the claims of a renewal (§2.1.12 to §2.1.14): ``cdniets`` and ``cdnistt`` come together.

    Raises:
        TokenError: one of them is malformed, or requests a transport that is not supported.
    """
    for name in RENEWAL_CLAIMS:
        value = claims.get(name, 0)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < RENEWAL_CLAIM_BOUND:
            raise TokenError(403, "token-renewal")
    if ("cdniets" in claims) != ("cdnistt" in claims):
        raise TokenError(403, "token-renewal")
    if claims.get("cdnistt", COOKIE) != COOKIE:
        # 2 requests renewed tokens in the response's references (§2.1.13); the parts served here have none
        raise TokenError(403, "token-transport")


def _number_claim(claims: Claims, name: str, default: float | None) -> float:
    """Return the value of a claim that is a number; with default None, the claim is required."""
    value = claims.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not abs(value) < NUMBER_BOUND:
        raise TokenError(401, f"token-{name}")
    return float(value)


def text_claim(claims: Claims, name: str) -> str:
    """Return the value of a claim that is a text.

    Raises:
        TokenError: it is missing, empty, too long or not a text.
    """
    value = claims.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise TokenError(401, f"token-{name}")
    return value
