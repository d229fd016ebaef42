"""URI containers (RFC 9246 §2.1.15): a hash of, or a regular expression for, the URIs that a token grants."""

from __future__ import annotations

import hashlib
import hmac
from base64 import urlsafe_b64encode
from typing import Any

import re2  # type: ignore[import-untyped]

from thornjunction.signing.tokens.trust import TokenError

# Greatest length of a regular expression, which bounds the memory of its automaton.
MAX_PATTERN_CHARACTERS = 512


def uri_hash(uri: str) -> str:
    """Return the value of a hash container for a URI, without its prefix ``hash:``."""
    digest = hashlib.sha256(uri.encode()).digest()
    return "sha-256;" + urlsafe_b64encode(digest).rstrip(b"=").decode()


def check_container(container: Any, uri: str) -> None:
    """Check that a token's container matches the URI.

    Raises:
        TokenError: it does not match, or the container is malformed.
    """
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
    """Match POSIX extended syntax against the complete URI, in linear time."""
    options = re2.Options()
    options.posix_syntax = True
    options.log_errors = False
    try:
        return re2.fullmatch(pattern, uri, options) is not None
    except re2.error as error:
        raise TokenError(403, "token-container") from error
