"""Trust (accepted issuers and keys), the grant of an accepted token, and the error of a rejected one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from joserfc.jwk import ECKey, OctKey

from thornjunction.signing.replay import ReplayEntry

# Default difference in seconds that is allowed between an issuer's clock and the router's.
DEFAULT_SKEW_S = 5.0

# Algorithms that can be configured.
ALGORITHMS = ("ES256", "HS256")

# Value of ``cdnistt`` (§6.4) for renewal by cookie, which is supported; 2, by query, is rejected.
COOKIE = 1

# A key of one of ``ALGORITHMS``.
Key = ECKey | OctKey

# Claims of a token by name.
Claims = dict[str, Any]


class TokenError(Exception):
    """A token was rejected.

    Attributes:
        status: status code of the HTTP response.
        code: reason of the rejection, for the log; it never contains the token.
        retry_after_s: with status 503, seconds after which the token may be accepted; otherwise 0.
    """

    def __init__(self, status: int, code: str, retry_after_s: float = 0.0) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A key that is used for one algorithm.

    Attributes:
        kid: the key's identifier in the headers of tokens.
        algorithm: the only ``alg`` for which the key is used.
        key: the key itself.
        retired_after_s: Unix time in seconds after which its tokens are rejected; None: not retired.
    """

    kid: str
    algorithm: str
    key: Key
    retired_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Trust:
    """The issuers and keys whose tokens are accepted, and the key that signs new ones.

    Attributes:
        issuers: accepted values of ``iss``.
        audience: the value that ``aud`` must contain.
        algorithms: accepted values of ``alg``.
        keys: keys by ``kid``.
        sign_with: ``kid`` of the key that signs issued and renewed tokens.
        skew_s: allowed difference in seconds between an issuer's clock and the router's.
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
        claims: the token's claims by name.
        replay_entry: for a token with a ``jti``, its entry in the replay window, to be gossiped.
    """

    claims: Claims
    replay_entry: ReplayEntry | None = None

    @property
    def renewal_s(self) -> int:
        """Lifetime of the renewed token in seconds; 0: the token is not renewed."""
        if self.claims.get("cdnistt") != COOKIE:
            return 0
        return int(self.claims.get("cdniets", 0))

    @property
    def renewal_depth(self) -> int:
        """Number of path segments to which the renewed token's cookie is limited (§2.1.14)."""
        return int(self.claims.get("cdnistd", 0))
