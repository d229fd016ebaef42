"""Verification of a token for a URI."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from joserfc import jwt
from joserfc.errors import JoseError

from thornjunction.signing import address
from thornjunction.signing.replay import ReplayEntry, ReplayWindow, replay_key
from thornjunction.signing.tokens.claims import (
    check_parties,
    check_renewal,
    check_times,
    check_understood,
    text_claim,
)
from thornjunction.signing.tokens.container import check_container
from thornjunction.signing.tokens.trust import Claims, Grant, Key, TokenError, Trust

# Greatest length of a token, which a URL or a cookie can still carry.
MAX_TOKEN_CHARACTERS = 4096


def verify(
    token: str,
    uri: str,
    trust: Trust,
    replay_window: ReplayWindow,
    now_s: float,
    client: address.Address | None = None,
) -> Grant:
    """Verify a token for a URI.

    The claims are checked in the order of the RFC, cheapest first.  The replay window is checked last, so
    that a token that fails another check does not use its capacity.

    Args:
        token: the JWT in compact serialization.
        uri: the requested URI without the token (§2.1.15).
        trust: accepted issuers and their keys.
        replay_window: the window of the tokens that were accepted before.
        now_s: Unix time in seconds.
        client: the client's address, against which ``cdniip`` is checked; None: not known.

    Raises:
        TokenError: the token is rejected.
    """
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise TokenError(401, "token-size")
    claims = _decode(token, trust, now_s)
    check_times(claims, trust.skew_s, now_s)
    check_parties(claims, trust)
    check_understood(claims)
    check_renewal(claims)
    if "cdniip" in claims and not address.matches_claim(claims["cdniip"], client):
        raise TokenError(403, "token-address")  # §2.1.10
    check_container(claims.get("cdniuc"), uri)
    if "jti" not in claims:
        return Grant(claims)
    return Grant(claims, _check_first_use(claims, trust, replay_window, now_s))


def _decode(token: str, trust: Trust, now_s: float) -> Claims:
    """Return the claims of a token whose signature is valid."""

    def find_key(signed: Any) -> Key:
        return _find_key(signed.headers(), trust, now_s)

    try:
        return dict(jwt.decode(token, find_key, algorithms=list(trust.algorithms)).claims)
    except (JoseError, ValueError, TypeError, KeyError, RecursionError) as error:
        raise TokenError(401, "token-forged") from error


def _find_key(header: Mapping[str, Any], trust: Trust, now_s: float) -> Key:
    """Return the key that a token's header names by ``kid``."""
    found = trust.keys.get(str(header.get("kid", "")))
    if found is None or header.get("alg") != found.algorithm:
        raise TokenError(401, "token-key")  # also if the key is for another algorithm
    if found.retired_after_s is not None and now_s > found.retired_after_s:
        raise TokenError(401, "token-key-retired")
    return found.key


def _check_first_use(claims: Claims, trust: Trust, replay_window: ReplayWindow, now_s: float) -> ReplayEntry:
    """Check that a token with a ``jti`` was not used before (§2.1.7), and record its use."""
    key = replay_key(str(claims["iss"]), text_claim(claims, "jti"))
    entry = ReplayEntry(key, float(claims["exp"]) + trust.skew_s)
    verdict = replay_window.accept(entry.key, entry.expires_s, now_s)
    if not verdict.accepted:
        status = 503 if verdict.retry_after_s else 403
        raise TokenError(status, verdict.code, verdict.retry_after_s)
    return entry
