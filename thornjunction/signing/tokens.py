"""Signed JWTs that carry a URI container (RFC 9246 §2): verify, issue, renew.

The cryptography is joserfc's, the matching of patterns RE2's.  Every claim of the RFC's registry is
understood; each rejection names its reason by a code for the log.  No clock: every call is given the Unix
time in seconds.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from base64 import urlsafe_b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import re2  # type: ignore[import-untyped]
from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey

from thornjunction.signing import address
from thornjunction.signing.replay import ReplayEntry, ReplayWindow, replay_key

MAX_TOKEN_CHARACTERS = 4096
"""Length of a token: what a URL or a cookie carries."""

MAX_PATTERN_CHARACTERS = 512
"""Length of a regular expression, which bounds the memory of its automaton."""

MAX_TEXT_CHARACTERS = 256
"""Length of a ``jti``."""

MAX_NUMBER = 1e15
"""Numbers in claims are below it: a double holds each such second exactly."""

MAX_RENEWAL = 1 << 31
"""Bound on the integers that describe a renewal."""

DEFAULT_SKEW_S = 5.0
"""Seconds by which an issuer's clock may differ from ours."""

JTI_BYTES = 16
"""Random bytes of a renewed token's ``jti``."""

ALGORITHMS = ("ES256", "HS256")
"""Algorithms that can be configured."""

REGISTERED_CLAIMS = frozenset(("iss", "sub", "aud", "exp", "nbf", "iat", "jti"))
"""Claims of RFC 7519 that are understood."""

URI_SIGNING_CLAIMS = frozenset(
    ("cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd"),
)
"""Claims of RFC 9246 that are understood."""

UNDERSTOOD = REGISTERED_CLAIMS | URI_SIGNING_CLAIMS
"""Claims that ``cdnicrit`` may list."""

RENEWAL_CLAIMS = ("cdniets", "cdnistt", "cdnistd")
"""Claims of RFC 9246 that describe the renewal of a token; their values are integers."""

COOKIE = 1
"""Value of ``cdnistt`` (§6.4) for renewal by cookie, which is served; 2, by query, is rejected."""

JWE_PARTS = 5
"""Parts of a subject, which is a JWE in compact serialization (§2.1.2)."""

Key = ECKey | OctKey
Claims = dict[str, Any]


class TokenError(Exception):
    """A token was rejected.

    Attributes:
        status: status of the HTTP response.
        code: reason for the log; it never contains the token.
        retry_after_s: with status 503, seconds after which the token may be accepted; otherwise 0.
    """

    def __init__(self, status: int, code: str, retry_after_s: float = 0.0) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A key for one algorithm.

    Attributes:
        kid: its name in the tokens' headers.
        algorithm: the only ``alg`` that it serves.
        key: the key itself.
        retired_after_s: Unix second after which its tokens are rejected; None: never.
    """

    kid: str
    algorithm: str
    key: Key
    retired_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Trust:
    """Whose tokens are accepted, and how new ones are signed.

    Attributes:
        issuers: accepted values of ``iss``.
        audience: the value that ``aud`` must contain.
        algorithms: accepted values of ``alg``.
        keys: keys by ``kid``.
        sign_with: ``kid`` of the key that signs issued and renewed tokens.
        skew_s: seconds by which an issuer's clock may differ.
    """

    issuers: frozenset[str]
    audience: str
    algorithms: tuple[str, ...]
    keys: Mapping[str, SigningKey]
    sign_with: str
    skew_s: float = DEFAULT_SKEW_S


@dataclass(frozen=True, slots=True)
class Grant:
    """An accepted token.

    Attributes:
        claims: what it says.
        replay_entry: for a token with a ``jti``, its entry in the replay window, to be gossiped.
    """

    claims: Claims
    replay_entry: ReplayEntry | None = None

    @property
    def renewal_s(self) -> int:
        """Lifetime of the renewed token in seconds; 0: it is not to be renewed."""
        if self.claims.get("cdnistt") != COOKIE:
            return 0
        return int(self.claims.get("cdniets", 0))

    @property
    def renewal_depth(self) -> int:
        """Number of path segments to which the renewed token's cookie is limited (§2.1.14)."""
        return int(self.claims.get("cdnistd", 0))


def verify(
    token: str,
    uri: str,
    trust: Trust,
    replays: ReplayWindow,
    now_s: float,
    client: address.Address | None = None,
) -> Grant:
    """Verify a token for a URI.

    The checks run in the RFC's order of claims, cheapest first; the replay window comes last, so that a
    token that fails another check takes no room in it.

    Args:
        token: the JWT in compact serialization.
        uri: the requested URI without the token (§2.1.15).
        trust: whose tokens are accepted.
        replays: tokens that were accepted before.
        now_s: Unix time in seconds.
        client: the client's address, for ``cdniip``.

    Raises:
        TokenError: the token is rejected.
    """
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise TokenError(401, "token-size")
    claims = _decode(token, trust, now_s)
    _check_times(claims, trust.skew_s, now_s)
    _check_parties(claims, trust)
    _check_understood(claims)
    _check_renewal(claims)
    if "cdniip" in claims and not address.matches_claim(claims["cdniip"], client):
        raise TokenError(403, "token-address")  # §2.1.10
    _check_container(claims.get("cdniuc"), uri)
    if "jti" not in claims:
        return Grant(claims)
    return Grant(claims, _check_first_use(claims, trust, replays, now_s))


def _decode(token: str, trust: Trust, now_s: float) -> Claims:
    """Claims of a token whose signature is valid."""

    def find_key(signed: Any) -> Key:
        return _find_key(signed.headers(), trust, now_s)

    try:
        return dict(jwt.decode(token, find_key, algorithms=list(trust.algorithms)).claims)
    except (JoseError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise TokenError(401, "token-forged") from error


def _find_key(header: Mapping[str, Any], trust: Trust, now_s: float) -> Key:
    """Key that a token's header names."""
    found = trust.keys.get(str(header.get("kid", "")))
    if found is None or header.get("alg") != found.algorithm:
        raise TokenError(401, "token-key")  # also where the key serves another algorithm
    if found.retired_after_s is not None and now_s > found.retired_after_s:
        raise TokenError(401, "token-key-retired")
    return found.key


def _check_times(claims: Claims, skew_s: float, now_s: float) -> None:
    if now_s > _number_claim(claims, "exp", None) + skew_s:
        raise TokenError(401, "token-expired")
    for name in ("nbf", "iat"):
        if now_s < _number_claim(claims, name, 0.0) - skew_s:
            raise TokenError(401, "token-early")


def _check_parties(claims: Claims, trust: Trust) -> None:
    """Check issuer (§2.1.1), subject (§2.1.2) and audience (§2.1.3).

    The subject is encrypted for the origin: it is kept and never read.
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


def _check_understood(claims: Claims) -> None:
    """Check that the version (§2.1.8) and each critical claim (§2.1.9) is understood."""
    version = claims.get("cdniv", 1)
    if version != 1 or isinstance(version, bool):
        raise TokenError(403, "token-version")
    critical = claims.get("cdnicrit", "")
    if not isinstance(critical, str):
        raise TokenError(403, "token-critical")
    names = {name.strip() for name in critical.split(",") if name}
    if not UNDERSTOOD.issuperset(names):
        raise TokenError(403, "token-critical")


def _check_renewal(claims: Claims) -> None:
    """Check the claims of a renewal (§2.1.12 to §2.1.14): ``cdniets`` and ``cdnistt`` come together."""
    for name in RENEWAL_CLAIMS:
        value = claims.get(name, 0)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < MAX_RENEWAL:
            raise TokenError(403, "token-renewal")
    if ("cdniets" in claims) != ("cdnistt" in claims):
        raise TokenError(403, "token-renewal")
    if claims.get("cdnistt", COOKIE) != COOKIE:
        # 2 asks for renewed tokens in the response's references (§2.1.13); parts served here have none
        raise TokenError(403, "token-transport")


def _check_container(container: Any, uri: str) -> None:
    """Check that the URI is in the token's container (§2.1.15)."""
    if not isinstance(container, str):
        raise TokenError(403, "token-container")
    kind, _, value = container.partition(":")
    if kind == "hash":
        matches = hmac.compare_digest(value.encode(), uri_hash(uri).encode())
    elif kind == "regex" and len(value) <= MAX_PATTERN_CHARACTERS:
        matches = _matches_pattern(value, uri)
    else:
        raise TokenError(403, "token-container")
    if not matches:
        raise TokenError(403, "token-path")


def _matches_pattern(pattern: str, uri: str) -> bool:
    """Match POSIX extended syntax against the whole URI, in linear time."""
    options = re2.Options()
    options.posix_syntax = True
    options.log_errors = False
    try:
        return re2.fullmatch(pattern, uri, options) is not None
    except re2.error as error:
        raise TokenError(403, "token-container") from error


def _check_first_use(claims: Claims, trust: Trust, replays: ReplayWindow, now_s: float) -> ReplayEntry:
    """Check that a token with a ``jti`` was not used before (§2.1.7), and record its use."""
    key = replay_key(str(claims["iss"]), _text_claim(claims, "jti"))
    entry = ReplayEntry(key, float(claims["exp"]) + trust.skew_s)
    verdict = replays.accept(entry.key, entry.expires_s, now_s)
    if not verdict.accepted:
        status = 503 if verdict.retry_after_s else 403
        raise TokenError(status, verdict.code, verdict.retry_after_s)
    return entry


def uri_hash(uri: str) -> str:
    """Value of a hash container for a URI (§2.1.15)."""
    digest = hashlib.sha256(uri.encode()).digest()
    return "sha-256;" + urlsafe_b64encode(digest).rstrip(b"=").decode()


def issue(trust: Trust, container: str, now_s: float, lifetime_s: int, **claims: Any) -> str:
    """Issue a token for a URI container; further claims (``cdniets``, ``cdnistt``, ``jti``) by name."""
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
    """Issue the same claims with a new expiry, and a new ``jti`` where there is one."""
    issued_at_s = int(now_s)
    claims = grant.claims | {"exp": issued_at_s + grant.renewal_s, "iat": issued_at_s}
    if "jti" in claims:
        claims["jti"] = secrets.token_urlsafe(JTI_BYTES)
    return _sign(trust, claims)


def _sign(trust: Trust, claims: Claims) -> str:
    signer = trust.keys[trust.sign_with]
    header = {"alg": signer.algorithm, "kid": signer.kid, "typ": "JWT"}
    return jwt.encode(header, claims, signer.key, algorithms=[signer.algorithm])


def _number_claim(claims: Claims, name: str, default: float | None) -> float:
    value = claims.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not abs(value) < MAX_NUMBER:
        raise TokenError(401, f"token-{name}")
    return float(value)


def _text_claim(claims: Claims, name: str) -> str:
    value = claims.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise TokenError(401, f"token-{name}")
    return value
