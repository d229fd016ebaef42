"""Settings of the signed front's keys, and reloads of its key set file."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from pathlib import Path

import pytest
from joserfc.jwk import OctKey

from tests.loopback import BASE, TRUST
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import load_extras
from thornjunction.runtime.key_set import KeySetReloader
from thornjunction.runtime.signed_settings import SignedFrontSettings
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

URI = BASE + "/films/17/7f3a9c21e0b4d655/0"
NOW_S = 1000.0
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

# 2026-12-31 in Unix seconds.
KEY_B_RETIRED_AFTER_S = 1_798_675_200.0


@dataclass(slots=True)
class FakeFront:
    """The part of a signed front that the reloader uses."""

    trust: tokens.Trust


def hmac_jwk(kid: str, secret_letter: str) -> dict[str, str]:
    """Return the JSON Web Key of the HMAC secret that repeats a letter 40 times."""
    return {"kid": kid, "alg": "HS256", **OctKey.import_key(secret_letter * 40).as_dict()}


KEY_A = hmac_jwk("a", "x")
KEY_B = hmac_jwk("b", "y")


def write_keys(folder: Path, *keys: dict[str, str]) -> None:
    (folder / "keys.json").write_text(json.dumps({"keys": list(keys)}))


@pytest.fixture
def settings(tmp_path: Path) -> SignedFrontSettings:
    """Return the settings of a front whose key set has only key ``a``."""
    write_keys(tmp_path, KEY_A)
    (tmp_path / "extras.toml").write_text(EXTRAS)
    signed_settings = load_extras(tmp_path / "extras.toml").signed
    assert signed_settings is not None
    return signed_settings


@pytest.fixture
def front(settings: SignedFrontSettings) -> FakeFront:
    return FakeFront(settings.trust)


@pytest.fixture
def reloader(settings: SignedFrontSettings, front: FakeFront) -> KeySetReloader:
    """Return a reloader that has read the key set with key ``a``."""
    assert settings.keyset is not None
    reloader = KeySetReloader(front, settings.keyset)
    reloader.reload()
    return reloader


def token_of_key_b() -> str:
    """Return a token for ``URI`` that is signed with key ``b``."""
    signing_key = tokens.SigningKey("b", "HS256", OctKey.import_key("y" * 40))
    trust = tokens.Trust(TRUST.issuers, "tj", ("HS256",), {"b": signing_key}, "b")
    return tokens.issue(trust, "hash:" + tokens.uri_hash(URI), NOW_S, 60)


def test_without_the_extras_file_there_is_no_signed_front(tmp_path: Path) -> None:
    assert load_extras(tmp_path / "none.toml").signed is None


def test_each_key_may_be_in_a_file_of_its_own(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_text(json.dumps(KEY_A))
    extras = EXTRAS.replace(
        'keyset = "keys.json"', 'keys = [{kid = "a", algorithm = "HS256", file = "a.json"}]'
    )
    (tmp_path / "extras.toml").write_text(extras.replace("gossip =", "# gossip ="))
    signed_settings = load_extras(tmp_path / "extras.toml").signed
    assert signed_settings is not None
    assert set(signed_settings.trust.keys) == {"a"}


def test_settings_of_the_front_are_read(settings: SignedFrontSettings) -> None:
    assert settings.keyset is not None
    assert settings.keyset.reload_interval_s == 30
    assert settings.replay_window.capacity == 3276
    assert settings.forwarding.header == "x-forwarded-for"


def test_a_new_key_is_accepted_from_the_next_reload(
    tmp_path: Path, front: FakeFront, reloader: KeySetReloader
) -> None:
    token = token_of_key_b()
    replay_window = ReplayWindow()
    write_keys(tmp_path, KEY_A, KEY_B)
    with pytest.raises(tokens.TokenError, match="token-key"):
        tokens.verify(token, URI, front.trust, replay_window, NOW_S)
    reloader.reload()
    assert tokens.verify(token, URI, front.trust, replay_window, NOW_S)
    assert front.trust.keys["b"].retired_after_s == KEY_B_RETIRED_AFTER_S


def test_a_faulty_file_changes_nothing_and_is_logged_without_a_secret(
    tmp_path: Path, front: FakeFront, reloader: KeySetReloader, caplog: pytest.LogCaptureFixture
) -> None:
    write_keys(tmp_path, KEY_A, KEY_B)
    reloader.reload()
    with caplog.at_level(logging.INFO):
        (tmp_path / "keys.json").write_text("{")
        reloader.reload()
        write_keys(tmp_path, KEY_B)  # without the key that signs
        reloader.reload()
        write_keys(tmp_path, KEY_A, KEY_B)
        reloader.reload()
    assert set(front.trust.keys) == {"a", "b"}
    assert dict(reloader.counts) == {"accepted": 2, "refused": 2, "same": 1}
    assert "keys.json: key set: not JSON" in caplog.text
    assert "sign_with 'a' is not in the set" in caplog.text
    assert "x" * 40 not in caplog.text


@pytest.mark.parametrize(
    ("line", "message"),
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
def test_errors_name_the_faulty_setting(tmp_path: Path, line: str, message: str) -> None:
    write_keys(tmp_path, KEY_A)
    name = line.partition(" ")[0]
    other_lines = [other for other in EXTRAS.splitlines() if not other.startswith(name + " ")]
    extras = "\n".join(other_lines).replace("[signed.retire]", line + "\n[signed.retire]")
    (tmp_path / "extras.toml").write_text(extras)
    with pytest.raises(ConfigError, match=message):
        load_extras(tmp_path / "extras.toml")
