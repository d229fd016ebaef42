"""Keys that change in service: the key set file at start, at SIGHUP and on the timer."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import pytest
from joserfc.jwk import OctKey

from tests.loopback import BASE, TRUST
from thornjunction.net.downstream.signed_front import SignedRequestContext
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import load_extras
from thornjunction.runtime.key_set import KeySetReloader
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

URI = BASE + "/films/17/7f3a9c21e0b4d655/0"
EXTRAS = """[signed]
listen = "127.0.0.1:8480"
base = "https://cams.example"
issuers = ["Reefline"]
audience = "tj"
algorithms = ["HS256"]
sign_with = "a"
keyset = "keys.json"
keys_every_s = 30
replay_cap_mb = 1
forwarding = { header = "x-forwarded-for", trusted = ["127.0.0.0/8"] }
gossip = { listen = "127.0.0.1:8490", peers = ["127.0.0.1:8491"], secret_file = "keys.json" }
[signed.retire]
b = 2026-12-31T00:00:00Z
"""


def key(kid: str, secret: str) -> dict[str, str]:
    return {"kid": kid, "alg": "HS256", **OctKey.import_key(secret * 40).as_dict()}


def write(folder: Path, *keys: dict[str, str]) -> None:
    (folder / "keys.json").write_text(json.dumps({"keys": list(keys)}))


def test_a_new_key_is_taken_between_requests_and_a_broken_file_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    assert load_extras(tmp_path / "none.toml").signed is None  # off without the operators' file
    (tmp_path / "a.json").write_text(json.dumps(key("a", "x")))
    one_file_a_key = EXTRAS.replace(
        'keyset = "keys.json"', 'keys = [{kid = "a", algorithm = "HS256", file = "a.json"}]'
    )
    (tmp_path / "extras.toml").write_text(one_file_a_key.replace("gossip =", "# gossip ="))
    assert set(load_extras(tmp_path / "extras.toml").signed.trust.keys) == {"a"}  # type: ignore[union-attr]
    write(tmp_path, key("a", "x"))
    (tmp_path / "extras.toml").write_text(EXTRAS)
    front = load_extras(tmp_path / "extras.toml").signed
    assert front is not None and front.keyset is not None
    assert (front.keyset.reload_interval_s, front.replays.capacity, front.forwarding.header) == (
        30,
        3276,
        "x-forwarded-for",
    )
    door = SignedRequestContext(None, {}, BASE, front.trust, ReplayWindow(), lambda: 1000.0)  # type: ignore[arg-type]
    watch = KeySetReloader(door, front.keyset)
    watch.reload()
    write(tmp_path, key("a", "x"), key("b", "y"))
    signer = tokens.Trust(
        TRUST.issuers,
        "tj",
        ("HS256",),
        {"b": tokens.SigningKey("b", "HS256", OctKey.import_key("y" * 40))},
        "b",
    )
    token = tokens.issue(signer, "hash:" + tokens.uri_hash(URI), 1000.0, 60)
    with pytest.raises(tokens.TokenError, match="token-key"):
        tokens.verify(token, URI, door.trust, door.replays, 1000.0)
    watch.reload()
    assert tokens.verify(token, URI, door.trust, door.replays, 1000.0)
    assert door.trust.keys["b"].retired_after_s == 1798675200.0
    with caplog.at_level(logging.INFO):
        (tmp_path / "keys.json").write_text("{")
        watch.reload()
        write(tmp_path, key("b", "y"))  # without the key that signs
        watch.reload()
        write(tmp_path, key("a", "x"), key("b", "y"))
        watch.reload()
    assert set(door.trust.keys) == {"a", "b"}
    assert dict(watch.counts) == {"accepted": 2, "refused": 2, "same": 1}
    assert "keys.json: key set: not JSON" in caplog.text and "sign_with 'a' is not in the set" in caplog.text
    assert "x" * 40 not in caplog.text


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("keys_every_s = 0.5", "signed.keys_every_s"),
        ("replay_cap_mb = 0", "signed.replay_cap_mb"),
        ('forwarding = { header = "via" }', "signed.forwarding"),
        ('forwarding = { trusted = ["nonsense"] }', "signed.forwarding"),
        ('keyset = "none.json"', "signed.keyset: none.json"),
        ('listen = "10.0.0.1:1"', "signed.listen"),
        ('sign_with = "zz"', "signed.sign_with"),
        ('tls = { cert = "none.pem", key = "keys.json" }', "signed.tls: no file none.pem"),
        ('gossip = { listen = "127.0.0.1:1", peers = [], secret_file = "keys.json" }', "signed.gossip"),
    ],
)
def test_faulty_settings_of_the_keys_are_named(tmp_path: Path, line: str, named: str) -> None:
    write(tmp_path, key("a", "x"))
    name = line.partition(" ")[0]
    told = "\n".join(kept for kept in EXTRAS.splitlines() if not kept.startswith(name + " "))
    (tmp_path / "extras.toml").write_text(told.replace("[signed.retire]", line + "\n[signed.retire]"))
    with pytest.raises(ConfigError, match=named):
        load_extras(tmp_path / "extras.toml")
