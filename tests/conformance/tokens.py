"""Tokens for conformance tests, built with joserfc and not by the router's own ``issue``.

Otherwise a fault that ``issue`` and ``verify`` have in common would not be found.
"""

from __future__ import annotations

from typing import Any

from joserfc import jwt
from joserfc.jwk import ECKey

from tests.loopback import BASE, KEYS, TRUST
from thornjunction.signing import address, tokens
from thornjunction.signing.replay import ReplayWindow

# The requested URI.
URI = BASE + "/films/17/7f3a9c21e0b4d655/0"

# The hash container that grants ``URI``.
HASH_CONTAINER = "hash:" + tokens.uri_hash(URI)

# Time of the checks, in Unix seconds.
NOW_S = 1000.0

# Claims of a token that is accepted at ``NOW_S``.
CLAIMS = {"iss": "Reefline", "aud": "tj", "exp": 1060, "iat": 1000, "cdniv": 1, "cdniuc": HASH_CONTAINER}

# A subject: a JWE, encrypted for the origin.
SUBJECT_JWE = "eyJhbGciOiJSU0EtT0FFUCJ9.a2V5.aXY.Y2lwaGVy.dGFn"

HMAC_KEY = KEYS["new"].key
EC_KEY = ECKey.generate_key("P-256")

CLIENT_V4 = "192.0.2.9"
CLIENT_V6 = "2001:db8::7"

# Length from which errors are checked for the token: a shorter fuzzed text may occur in any error by chance.
MIN_LEAK_CHARACTERS = 8


def signed_token(claims: dict[str, Any], kid: str = "new", alg: str = "HS256", key: Any = HMAC_KEY) -> str:
    """Return a token with these claims and no others."""
    return jwt.encode({"alg": alg, "kid": kid}, claims, key, algorithms=[alg])


def with_claims(**claims: Any) -> str:
    """Return a token with ``CLAIMS`` and these claims, which replace those of the same name."""
    return signed_token(CLAIMS | claims)


def without_claims(*names: str) -> str:
    """Return a token with ``CLAIMS`` except these."""
    return signed_token({name: value for name, value in CLAIMS.items() if name not in names})


def rejection_code(
    token: str, now_s: float = NOW_S, client: str = CLIENT_V4, window: ReplayWindow | None = None
) -> str:
    """Return the code with which a token is rejected; empty: it is accepted."""
    replay_window = ReplayWindow() if window is None else window  # an empty window is falsy
    try:
        tokens.verify(token, URI, TRUST, replay_window, now_s, address.parse_address(client))
    except tokens.TokenError as error:
        rejection = error
    else:
        return ""
    # hypothesis also draws constants from the code, such as "token-forged": the code itself leaks no token
    assert len(token) < MIN_LEAK_CHARACTERS or token not in repr(rejection).replace(rejection.code, "")
    return rejection.code
