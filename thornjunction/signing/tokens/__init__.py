"""Signed JWTs that carry a URI container (RFC 9246 §2): verify, issue, renew.

The cryptography is joserfc's, the matching of patterns RE2's.  Every claim of the RFC's registry is
understood; each rejection names its reason by a code for the log.  No clock: every call is given the Unix
time in seconds.
"""

from thornjunction.signing.tokens.container import uri_hash
from thornjunction.signing.tokens.issuing import issue, renew
from thornjunction.signing.tokens.trust import (
    ALGORITHMS,
    COOKIE,
    Claims,
    Grant,
    Key,
    SigningKey,
    TokenError,
    Trust,
)
from thornjunction.signing.tokens.verification import verify

__all__ = [
    "ALGORITHMS",
    "COOKIE",
    "Claims",
    "Grant",
    "Key",
    "SigningKey",
    "TokenError",
    "Trust",
    "issue",
    "renew",
    "uri_hash",
    "verify",
]
