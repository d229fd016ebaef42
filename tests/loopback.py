"""The test suite's settings round the loopback rig (``packages/fakes``): keys, paths, classes."""

from __future__ import annotations

from dataclasses import replace

from fakes import loopback_environment as rig
from fakes.clients import HttpClient as Client
from joserfc.jwk import OctKey

from tests.helpers import FILMS, KEYED, SETTINGS
from thornjunction.signing import tokens

BASE, CLIP, ALERT = "https://cams.example", "/films/17/7f3a9c21e0b4d655/0", "/keyed/3/00000000000000aa/0"
KEYS = {
    kid: tokens.SigningKey(kid, "HS256", OctKey.import_key(secret * 40), until)
    for kid, secret, until in (("new", "n", None), ("old", "o", 2e9), ("retired", "r", 10.0))
}
TRUST = tokens.Trust(frozenset({"Reefline"}), "tj", ("HS256",), KEYS, "new", 5.0)
SETTINGS_HERE = replace(SETTINGS, may_bypass_caches=True, may_send_retry_after=True, max_retry_after_ms=500.0)
__all__ = ["Client"]  # for the tests that import it from here


class Rig(rig.Rig):
    """The rig with the suite's settings, classes and keys."""

    def __init__(self) -> None:
        super().__init__(SETTINGS_HERE, (FILMS, KEYED), TRUST, BASE)
