"""Verification, issue and renewal of signed JWTs that have a URI container (RFC 9246 §2).

joserfc does the cryptography, and RE2 matches the patterns.  Every claim of the RFC's registry is understood;
each rejection has a code for the log.  The package reads no clock: every call is given the Unix time in
seconds.
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
