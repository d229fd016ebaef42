"""Settings, signing keys and paths that the tests use with the loopback environment of ``packages/fakes``."""

from __future__ import annotations

from dataclasses import replace

from fakes.loopback_environment import LoopbackEnvironment
from joserfc.jwk import OctKey

from tests.helpers import FILMS, KEYED, SETTINGS
from thornjunction.signing import tokens

BASE = "https://cams.example"
FILM_PATH = "/films/17/7f3a9c21e0b4d655/0"
KEYED_PATH = "/keyed/3/00000000000000aa/0"

# Key id, the letter of which its secret consists, and the Unix time in seconds at which the key expires.
KEY_PARAMETERS = (("new", "n", None), ("old", "o", 2e9), ("retired", "r", 10.0))

SECRET_BYTES = 40

KEYS = {
    key_id: tokens.SigningKey(key_id, "HS256", OctKey.import_key(letter * SECRET_BYTES), until_unix_s)
    for key_id, letter, until_unix_s in KEY_PARAMETERS
}

TRUST = tokens.Trust(frozenset({"Reefline"}), "tj", ("HS256",), KEYS, "new", 5.0)

LOOPBACK_SETTINGS = replace(
    SETTINGS, may_bypass_caches=True, may_send_retry_after=True, max_retry_after_ms=500.0
)


def make_loopback_environment() -> LoopbackEnvironment:
    """Start an environment with these settings, classes and keys; the caller has to stop it."""
    return LoopbackEnvironment(LOOPBACK_SETTINGS, (FILMS, KEYED), TRUST, BASE)
