"""Issue and renewal of tokens."""

from __future__ import annotations

import secrets
from typing import Any

from joserfc import jwt

from thornjunction.signing.tokens.trust import Claims, Grant, Trust

# Number of random bytes in a renewed token's ``jti``.
JTI_BYTES = 16


def issue(trust: Trust, container: str, now_s: float, lifetime_s: int, **claims: Any) -> str:
    """Issue a token for a URI container, with further claims such as ``cdniets`` and ``jti`` by name."""
    issued_at_s = int(now_s)
    base_claims = {
        "iss": min(trust.issuers),
        "aud": trust.audience,
        "iat": issued_at_s,
        "exp": issued_at_s + lifetime_s,
        "cdniv": 1,
        "cdniuc": container,
    }
    return _sign(trust, base_claims | claims)


def renew(trust: Trust, grant: Grant, now_s: float) -> str:
    """Issue a token with the grant's claims and a new expiry, and with a new ``jti`` if it has one."""
    issued_at_s = int(now_s)
    claims = grant.claims | {"exp": issued_at_s + grant.renewal_s, "iat": issued_at_s}
    if "jti" in claims:
        claims["jti"] = secrets.token_urlsafe(JTI_BYTES)
    return _sign(trust, claims)


def _sign(trust: Trust, claims: Claims) -> str:
    signer = trust.keys[trust.sign_with]
    header = {"alg": signer.algorithm, "kid": signer.kid, "typ": "JWT"}
    return jwt.encode(header, claims, signer.key, algorithms=[signer.algorithm])
