"""Starts the program of this or another source tree as a child process, with a given configuration."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from fleet_harness.parent_death import die_with_parent

ROOT = Path(__file__).resolve().parents[2]
# The arguments of the interpreter with which deploy/balancer.toml starts a router.
ROUTER_COMMAND = ("-m", "thornjunction")


def extract_tree(commit: str, folder: Path) -> Path:
    """Write the files of a commit to a new folder and return it."""
    folder.mkdir()
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=True).stdout
    subprocess.run(["tar", "-x"], cwd=folder, input=archive, check=True)
    return folder


def write_config(folder: Path, config: Mapping[str, Any]) -> Path:
    """Write a configuration to a new file and return its path."""
    path = folder / f"{os.urandom(4).hex()}.json"
    path.write_text(json.dumps(config))
    return path


def start_program(
    config: Path | None,
    tree: Path = ROOT,
    command: Sequence[str] = ROUTER_COMMAND,
    log: Path | None = None,
    stdout: int | None = None,
) -> subprocess.Popen[bytes]:
    """Start the program of a source tree in its folder; the kernel kills it when this process dies.

    Standard error is appended to ``log``, or discarded without it.
    """
    variables = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    if config is not None:
        variables["PROXY_CONFIG"] = str(config)
    with open(log or os.devnull, "ab") as messages:
        return subprocess.Popen(
            [sys.executable, *command],
            env=variables,
            cwd=tree,
            stdout=stdout,
            stderr=messages,
            preexec_fn=partial(die_with_parent, os.getpid()),
        )


def start_helper(script: Path, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a script with pipes; the kernel kills it when this process dies."""
    variables = dict(os.environ)
    variables["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
    return subprocess.Popen(
        [sys.executable, str(script), *arguments],
        env=variables,
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        preexec_fn=partial(die_with_parent, os.getpid()),
    )


def kill_all(processes: Sequence[subprocess.Popen[bytes]]) -> None:
    """Kill processes and wait for each."""
    for process in processes:
        process.kill()
    for process in processes:
        process.wait()
