"""Topologies and the files that they are read from."""

from __future__ import annotations

from pathlib import Path

import pytest
from fleet_scale.errors import TopologyError
from fleet_scale.topology import TOPOLOGY_FOLDER, read_topology


def test_the_full_topology_has_the_size_expected_in_two_years() -> None:
    full = read_topology(TOPOLOGY_FOLDER / "full.toml")
    sites = full.sites()
    assert (len(full.regions), len(full.zones()), len(sites), full.cache_servers) == (8, 22, 58, 440)
    assert sum(len(site.routers) for site in sites) == 1200
    assert {len(site.routers) for site in sites} == {20, 21}
    names = [name for site in sites for name in site.routers]
    assert len(set(names)) == 1200
    assert len(full.resized(300).sites()) == 58


def replace_key(text: str, replacement: str) -> str:
    """Return a topology's text with the replacement instead of the key or section of that name."""
    lines = text.splitlines()
    key = replacement.split(" ")[0]
    if f"[{key}]" in lines:
        begin = lines.index(f"[{key}]")
        end = next((n for n in range(begin + 1, len(lines)) if lines[n].startswith("[")), len(lines))
        kept = [*lines[:begin], *lines[end:]]
    else:
        kept = [line for line in lines if not line.startswith(key)]
    return "\n".join([replacement, *kept])


@pytest.mark.parametrize(
    ("replacement", "fault"),
    [
        ("routers = 0", "routers"),
        ("routers = 5000", "routers"),
        ("relays = ['r9']", "r9"),
        ("regions = {}", "regions"),
        ("delays = {zone = 0, region = 0, far = 5000}", "delays"),
        ("delays = {zone = 0}", "region"),
        ("links = 'many'", "many"),
        ("links = [", "toml"),
    ],
)
def test_an_error_names_the_fault_in_a_topology(tmp_path: Path, replacement: str, fault: str) -> None:
    path = tmp_path / "t.toml"
    path.write_text(replace_key((TOPOLOGY_FOLDER / "small.toml").read_text(), replacement))
    with pytest.raises(TopologyError, match=fault):
        read_topology(path)
