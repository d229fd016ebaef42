"""``python -m fleet_scale RUN``: executes a run, prints its report and writes it to a file.

The exit code is 1 if a verdict fails, and 2 if the topology is invalid.
"""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path

from fleet_scale.errors import TopologyError
from fleet_scale.modes import Mode
from fleet_scale.report import Report
from fleet_scale.runs.compare import run_comparison
from fleet_scale.runs.faults import FaultOptions, run_faults
from fleet_scale.runs.slopes import run_slopes
from fleet_scale.runs.small import run_small
from fleet_scale.topology import TOPOLOGY_FOLDER, Topology, read_topology

RUNS = ("small", "compare", "slopes", "faults", "all")
# Numbers of hollow routers at which the modes are compared.
COMPARED_SIZES = (100, 300, 600, 1200)
# Purges in an hour at the peak rate of 34 a second.
PURGES_PER_HOUR = 122_400

EXIT_PASSED = 0
EXIT_VERDICT_FAILED = 1
EXIT_INVALID_TOPOLOGY = 2
# The exit code of a program that was terminated by SIGTERM, by the shell's convention.
EXIT_TERMINATED = 128 + signal.SIGTERM


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = _parser().parse_args(argv)
    try:
        topology = _topology(arguments)
    except TopologyError as error:
        print(f"fleet_scale: {error}", file=sys.stderr)
        return EXIT_INVALID_TOPOLOGY
    words = sys.argv[1:] if argv is None else argv
    report = Report(" ".join(["python -m fleet_scale", *words]))
    try:
        _run(report, topology, arguments)
    finally:
        if arguments.out is not None:
            report.write(arguments.out)
    print(report.markdown())
    for statement in report.failed:
        print(f"fails: {statement}", file=sys.stderr)
    return EXIT_VERDICT_FAILED if report.failed else EXIT_PASSED


def _topology(arguments: argparse.Namespace) -> Topology:
    default = "small.toml" if arguments.run == "small" else "full.toml"
    topology = read_topology(arguments.topology or TOPOLOGY_FOLDER / default)
    return topology.resized(arguments.routers, arguments.shelfs, arguments.relays)


def _run(report: Report, topology: Topology, arguments: argparse.Namespace) -> None:
    modes = tuple(arguments.modes)
    if arguments.run == "small":
        run_small(report, topology, modes, arguments.most_s)
    if arguments.run in ("compare", "all"):
        run_comparison(report, topology, arguments.sizes, modes, arguments.seconds)
    if arguments.run in ("slopes", "all"):
        resized = topology.resized(min(arguments.slope_routers, topology.routers))
        run_slopes(report, resized, modes, arguments.seconds)
    if arguments.run in ("faults", "all"):
        resized = topology.resized(min(arguments.fault_routers, topology.routers))
        options = FaultOptions(arguments.behind, arguments.restarts, arguments.most_s)
        run_faults(report, resized, modes, options)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m fleet_scale", description=__doc__)
    add = parser.add_argument
    add("run", choices=RUNS)
    add("--topology", type=Path, help="a TOML file; default: full.toml, or small.toml for the small run")
    add("--out", type=Path, help="file to write the report to")
    add("--routers", type=int, default=0, help="hollow routers; default: as in the topology")
    add("--shelfs", type=int, default=0, help="cache servers; default: as in the topology")
    add("--relays", type=int, default=-1, help="relays; default: as in the topology")
    add("--modes", nargs="+", type=Mode, choices=tuple(Mode), default=tuple(Mode))
    add("--sizes", nargs="+", type=int, default=COMPARED_SIZES, help="numbers of hollow routers, of compare")
    add("--seconds", type=float, default=10.0, help="duration of each measured window")
    add("--slope-routers", type=int, default=200, help="hollow routers, of slopes")
    add("--fault-routers", type=int, default=1200, help="hollow routers, of faults")
    add("--behind", type=int, default=PURGES_PER_HOUR, help="purges published while a region is isolated")
    add("--restarts", type=int, default=360)
    add(
        "--most-s",
        type=float,
        default=900.0,
        help="time limit of each environment, or of the complete small run",
    )
    return parser


if __name__ == "__main__":
    # On SIGTERM, SystemExit leaves the environment, whose exit kills the processes of the run.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    sys.exit(main())
