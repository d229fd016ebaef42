"""``python -m fleet_scale RUN``: a run with its tables written to a file.

The exit code is 1 if a verdict fails, and 2 for a topology that is not valid.
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
# Hollow routers of the sizes that are compared.
COMPARED_SIZES = (100, 300, 600, 1200)
# Purges of an hour at 34 a second.
PURGES_PER_HOUR = 122_400

EXIT_PASSED = 0
EXIT_VERDICT_FAILED = 1
EXIT_INVALID_TOPOLOGY = 2
# The exit code of a program that SIGTERM ended, by the shell's convention.
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
    return topology.sized(arguments.routers, arguments.shelfs, arguments.relays)


def _run(report: Report, topology: Topology, arguments: argparse.Namespace) -> None:
    modes = tuple(arguments.modes)
    if arguments.run == "small":
        run_small(report, topology, modes, arguments.most_s)
    if arguments.run in ("compare", "all"):
        run_comparison(report, topology, arguments.sizes, modes, arguments.seconds)
    if arguments.run in ("slopes", "all"):
        sized = topology.sized(min(arguments.slope_routers, topology.routers))
        run_slopes(report, sized, modes, arguments.seconds)
    if arguments.run in ("faults", "all"):
        sized = topology.sized(min(arguments.fault_routers, topology.routers))
        options = FaultOptions(arguments.behind, arguments.restarts, arguments.most_s)
        run_faults(report, sized, modes, options)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m fleet_scale", description=__doc__)
    add = parser.add_argument
    add("run", choices=RUNS)
    add("--topology", type=Path, help="a TOML file; else full.toml or small.toml")
    add("--out", type=Path, help="the file for the tables")
    add("--routers", type=int, default=0, help="in place of the topology's number")
    add("--shelfs", type=int, default=0, help="cache servers, in place of the topology's number")
    add("--relays", type=int, default=-1, help="in place of the topology's number")
    add("--modes", nargs="+", type=Mode, choices=tuple(Mode), default=tuple(Mode))
    add("--sizes", nargs="+", type=int, default=COMPARED_SIZES, help="hollow routers, of compare")
    add("--seconds", type=float, default=10.0, help="of each measured window")
    add("--slope-routers", type=int, default=200, help="hollow routers, of slopes")
    add("--fault-routers", type=int, default=1200, help="hollow routers, of faults")
    add("--behind", type=int, default=PURGES_PER_HOUR, help="purges published while a region is cut off")
    add("--restarts", type=int, default=360)
    add("--most-s", type=float, default=900.0, help="of each environment; of the whole small form")
    return parser


if __name__ == "__main__":
    # Ends the processes of a run that SIGTERM ends: SystemExit leaves the environment, which stops them.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    sys.exit(main())
