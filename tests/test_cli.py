"""The command line, through click's runner: each sub-command's answer and exit code."""

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
from pathlib import Path
from typing import Any
from unittest.mock import patch

from click.testing import CliRunner
from joserfc.jwk import OctKey

from tests.signing.test_key_sets import EXTRAS
from thornjunction.cli import main

CLIP = "/films/17/7f3a9c21e0b4d655/0"
ROOT = Path(__file__).resolve().parent.parent


def test_tokens_are_issued_verified_and_inspected_and_keys_rotated(tmp_path: Path) -> None:
    secret = {"kid": "a", "alg": "HS256", **OctKey.import_key("x" * 40).as_dict()}
    (tmp_path / "keys.json").write_text(json.dumps({"keys": [secret]}))
    extras = tmp_path / "extras.toml"
    extras.write_text(EXTRAS.replace("gossip =", "# gossip ="))
    runner, at = CliRunner(), ["--extras", str(extras)]
    url = runner.invoke(main, ["token", "issue", CLIP, *at, "--jti", "j1"]).output.strip()
    assert url.startswith("https://cams.example" + CLIP + "?URISigningPackage=")
    assert runner.invoke(main, ["token", "verify", url, *at]).output == "admitted\n"
    spoilt = runner.invoke(main, ["token", "verify", url[:-3] + "AAA", *at])
    assert (spoilt.exit_code, spoilt.output) == (1, "refused 401 token-forged\n")
    inspected = json.loads(runner.invoke(main, ["token", "inspect", url]).output)
    assert (inspected["header"]["kid"], inspected["claims"]["jti"]) == ("a", "j1")
    rotation = ["keys", "rotate", *at, "--kid", "b", "--algorithm", "HS256"]
    with patch("os.fsync", side_effect=OSError(errno.ENOSPC, "full")):
        assert runner.invoke(main, rotation).output == "Error: keys.json stays as it was: full\n"
    assert json.loads((tmp_path / "keys.json").read_text()) == {"keys": [secret]}
    rotated = runner.invoke(main, rotation)
    assert rotated.output == "added b HS256 to keys.json; 2 keys\n"
    listed = runner.invoke(main, ["keys", "list", *at]).output.splitlines()
    assert listed == ["a HS256 until=- signs", "b HS256 until=1798675200.0"]
    assert "x" * 40 not in rotated.output + "".join(listed)


def test_faults_are_named_and_exit_with_two(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text("{}")
    runner = CliRunner()
    checked = runner.invoke(main, ["check", str(config), "--extras", str(tmp_path / "none.toml")])
    assert checked.exit_code == 2 and "'limits' is missing" in checked.output
    (tmp_path / "extras.toml").write_text("[signed]\n")
    issued = runner.invoke(main, ["token", "issue", CLIP, "--extras", str(tmp_path / "extras.toml")])
    assert issued.exit_code == 2 and "signed" in issued.output
    assert runner.invoke(main, ["token", "inspect", "nothing"]).exit_code == 1


def test_run_without_a_configuration_serves_the_demo_and_ends_on_sigterm() -> None:
    env = {k: v for k, v in os.environ.items() if k != "PROXY_CONFIG"}
    command = [sys.executable, "-m", "thornjunction", "run"]
    program = subprocess.Popen(command, env=env, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    try:
        assert program.stdout is not None
        said = b""
        while b"URISigningPackage" not in said:
            line = program.stdout.readline()
            assert line, "ended before it said where to ask"
            said += line
        url = re.search(rb"'(http://127\.0\.0\.1:\d+/clips/[^']+)'", said)
        assert url is not None
        answer = ask(url[1].decode())
        assert (answer.status, len(answer.read())) == (200, 16_384)
        program.send_signal(signal.SIGTERM)
        assert program.wait(20) == 0
    finally:
        program.kill()
        program.communicate()


def ask(url: str) -> Any:
    end = time.monotonic() + 20.0
    while True:
        try:
            return urllib.request.urlopen(url, timeout=10)
        except urllib.error.URLError:
            assert time.monotonic() < end, "the signed front never listened"
