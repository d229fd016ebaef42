"""``python -m fleet_scale WHAT``: a run, its tables written to a file; exit code 1 where a verdict fails."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path

from fleet_scale.compare import compare
from fleet_scale.faults import faults
from fleet_scale.report import Report
from fleet_scale.slopes import slopes
from fleet_scale.small import small
from fleet_scale.topology import HERE, Topology, TopologyError, read_topology

MODES = ("direct", "relays")
SIZES = (100, 300, 600, 1200)
HOUR = 122_400  # purges, at 34 a second


def main(argv: list[str] | None = None) -> int:
    told = _parser().parse_args(argv)
    try:
        file = told.topology or HERE / ("small.toml" if told.what == "small" else "full.toml")
        topology = read_topology(file).sized(told.routers, told.shelfs, told.relays)
    except TopologyError as error:
        print(f"fleet_scale: {error}", file=sys.stderr)
        return 2
    report = Report(" ".join(["python -m fleet_scale", *(argv if argv is not None else sys.argv[1:])]))
    try:
        _play(report, topology, told)
    finally:
        if told.out is not None:
            report.write(told.out)
    print(report.markdown())
    for what in report.failed:
        print(f"fails: {what}", file=sys.stderr)
    return 1 if report.failed else 0


def _play(report: Report, topology: Topology, told: argparse.Namespace) -> None:
    modes = tuple(told.modes)
    if told.what == "small":
        small(report, topology, modes, told.most_s)
    if told.what in ("compare", "all"):
        compare(report, topology, told.sizes, modes, told.seconds)
    if told.what in ("slopes", "all"):
        slopes(report, topology.sized(min(told.slope_routers, topology.routers)), modes, told.seconds)
    if told.what in ("faults", "all"):
        size = min(told.fault_routers, topology.routers)
        faults(report, topology.sized(size), modes, told.behind, told.restarts, told.most_s)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m fleet_scale", description=__doc__)
    parser.add_argument("what", choices=("small", "compare", "slopes", "faults", "all"))
    parser.add_argument("--topology", type=Path, help="a TOML file; else full.toml or small.toml")
    parser.add_argument("--out", type=Path, help="where the tables go")
    parser.add_argument("--routers", type=int, default=0, help="over the topology's number")
    parser.add_argument("--shelfs", type=int, default=0, help="over the topology's number")
    parser.add_argument("--relays", type=int, default=-1, help="over the topology's number")
    parser.add_argument("--modes", nargs="+", choices=MODES, default=MODES)
    parser.add_argument("--sizes", nargs="+", type=int, default=SIZES, help="hollow routers, of compare")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each measured window")
    parser.add_argument("--slope-routers", type=int, default=200, help="hollow routers, of slopes")
    parser.add_argument("--fault-routers", type=int, default=1200, help="hollow routers, of faults")
    parser.add_argument("--behind", type=int, default=HOUR, help="purges told while a region is cut")
    parser.add_argument("--restarts", type=int, default=360)
    parser.add_argument("--most-s", type=float, default=900.0, help="of each stage; of the whole small form")
    return parser


if __name__ == "__main__":
    # Guards the processes of a run that is told to end: the stage's own end ends them.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    sys.exit(main())
