"""The command line, run through click's test runner: output and exit code of each sub-command."""

from __future__ import annotations

import errno
import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from http.client import HTTPResponse
from pathlib import Path
from unittest.mock import patch

import pytest
from click.testing import CliRunner, Result
from joserfc.jwk import OctKey

from tests.signing.test_key_sets import EXTRAS
from thornjunction.cli import main

CLIP = "/films/17/7f3a9c21e0b4d655/0"
ROOT = Path(__file__).resolve().parent.parent
SECRET = "x" * 40
KEY_A = {"kid": "a", "alg": "HS256", **OctKey.import_key(SECRET).as_dict()}

# Time limit for the demo to open its signed front.
START_TIMEOUT_S = 20.0

# Time limit for the demo to exit after SIGTERM.
STOP_TIMEOUT_S = 20.0


def invoke(*arguments: str) -> Result:
    """Run a sub-command in the process of the test."""
    return CliRunner().invoke(main, list(arguments))


@pytest.fixture
def extras(tmp_path: Path) -> str:
    """Path of an operators' file whose key set holds only the key ``a``."""
    (tmp_path / "keys.json").write_text(json.dumps({"keys": [KEY_A]}))
    path = tmp_path / "extras.toml"
    path.write_text(EXTRAS.replace("gossip =", "# gossip ="))
    return str(path)


@pytest.fixture
def signed_url(extras: str) -> str:
    return invoke("token", "issue", CLIP, "--extras", extras, "--jti", "j1").output.strip()


def test_an_issued_url_names_the_front_and_the_path(signed_url: str) -> None:
    assert signed_url.startswith("https://cams.example" + CLIP + "?URISigningPackage=")


def test_an_issued_url_is_admitted(signed_url: str, extras: str) -> None:
    assert invoke("token", "verify", signed_url, "--extras", extras).output == "admitted\n"


def test_an_altered_url_is_refused_with_its_reason(signed_url: str, extras: str) -> None:
    result = invoke("token", "verify", signed_url[:-3] + "AAA", "--extras", extras)
    assert result.exit_code == 1
    assert result.output == "refused 401 token-forged\n"


def test_a_token_is_inspected(signed_url: str) -> None:
    inspected = json.loads(invoke("token", "inspect", signed_url).output)
    assert inspected["header"]["kid"] == "a"
    assert inspected["claims"]["jti"] == "j1"


def test_keys_are_rotated_and_listed_without_a_secret(extras: str) -> None:
    rotated = invoke("keys", "rotate", "--extras", extras, "--kid", "b", "--algorithm", "HS256")
    assert rotated.output == "added b HS256 to keys.json; 2 keys\n"
    listed = invoke("keys", "list", "--extras", extras)
    assert listed.output.splitlines() == ["a HS256 until=- signs", "b HS256 until=1798675200.0"]
    assert SECRET not in rotated.output + listed.output


def test_a_rotation_that_cannot_be_written_changes_nothing(extras: str, tmp_path: Path) -> None:
    with patch("os.fsync", side_effect=OSError(errno.ENOSPC, "full")):
        result = invoke("keys", "rotate", "--extras", extras, "--kid", "b", "--algorithm", "HS256")
    assert result.output == "Error: keys.json was not changed: full\n"
    assert json.loads((tmp_path / "keys.json").read_text()) == {"keys": [KEY_A]}


def test_an_error_names_the_fault_of_a_configuration(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text("{}")
    result = invoke("check", str(config), "--extras", str(tmp_path / "none.toml"))
    assert result.exit_code == 2
    assert "'limits' is missing" in result.output


def test_an_error_names_the_fault_of_an_operators_file(tmp_path: Path) -> None:
    extras = tmp_path / "extras.toml"
    extras.write_text("[signed]\n")
    result = invoke("token", "issue", CLIP, "--extras", str(extras))
    assert result.exit_code == 2
    assert "signed" in result.output


def test_inspect_refuses_a_text_that_is_not_a_token() -> None:
    assert invoke("token", "inspect", "nothing").exit_code == 1


@pytest.fixture
def demo() -> Iterator[subprocess.Popen[bytes]]:
    """A process of the program that was started without a configuration."""
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    command = [sys.executable, "-m", "thornjunction", "run"]
    program = subprocess.Popen(
        command, env=environment, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        yield program
    finally:
        program.kill()
        program.communicate()


def read_demo_url(program: subprocess.Popen[bytes]) -> str:
    """Read the demo's output until it prints a signed URL, and return this URL."""
    assert program.stdout is not None
    output = b""
    while b"URISigningPackage" not in output:
        line = program.stdout.readline()
        assert line, "the demo ended before it printed a URL"
        output += line
    url = re.search(rb"'(http://127\.0\.0\.1:\d+/clips/[^']+)'", output)
    assert url is not None
    return url[1].decode()


def fetch_when_listening(url: str) -> HTTPResponse:
    """Fetch a URL, retrying until its server listens."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return urllib.request.urlopen(url, timeout=10)
        except urllib.error.URLError:
            assert time.monotonic() < deadline_s, "the signed front did not listen within the time limit"


def test_run_without_a_configuration_serves_the_demo_and_ends_on_sigterm(
    demo: subprocess.Popen[bytes],
) -> None:
    response = fetch_when_listening(read_demo_url(demo))
    assert response.status == 200
    assert len(response.read()) == 16_384
    demo.send_signal(signal.SIGTERM)
    assert demo.wait(STOP_TIMEOUT_S) == 0
