"""The keys that a configuration has, by which a reloaded file that lacks some of them is recognized."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

# The settings of a request class that the platform may leave out.
OPTIONAL_KEYS = frozenset({"aimStretch"})

# The platform's key whose content may differ from file to file.
UNCHECKED_KEY = "known"

# End of the path of a list's element.
ELEMENT_END = "]"


def iterate_key_paths(value: Any, prefix: str = "") -> Iterator[str]:
    """Yield the paths of all keys, except those below ``known`` and those that may be left out.

    Keys of an element of a list are yielded with its name, as ``classes[clips].worth``.  Those that all of
    its elements have are yielded once more without a name, as ``classes[].worth``, so that an element that is
    added must have them too.
    """
    if isinstance(value, Mapping):
        yield from _iterate_object(value, prefix)
    elif isinstance(value, list) and value and all(isinstance(element, Mapping) for element in value):
        yield from _iterate_list(value, prefix.removesuffix("."))


def missing_keys(running: frozenset[str], reloaded: frozenset[str]) -> list[str]:
    """Return the paths that the running configuration has and the reloaded one lacks, in order.

    The keys of an element that the reloaded file leaves out completely are not missing.
    """
    missing = running - reloaded
    removed = {path for path in missing if path.endswith(ELEMENT_END)}
    return sorted(path for path in missing if not _is_in_element(path, removed))


def _iterate_object(value: Mapping[str, Any], prefix: str) -> Iterator[str]:
    for key, inner in value.items():
        if key in OPTIONAL_KEYS:
            continue
        yield prefix + key
        if key != UNCHECKED_KEY:
            yield from iterate_key_paths(inner, f"{prefix}{key}.")


def _iterate_list(elements: Sequence[Mapping[str, Any]], path: str) -> Iterator[str]:
    for element in elements:
        name = element.get("name")
        if isinstance(name, str):
            yield f"{path}[{name}{ELEMENT_END}"
            yield from iterate_key_paths(element, f"{path}[{name}].")
    common = frozenset.intersection(*(frozenset(iterate_key_paths(element)) for element in elements))
    yield from (f"{path}[].{key}" for key in common)


def _is_in_element(path: str, elements: Iterable[str]) -> bool:
    return any(path == element or path.startswith(f"{element}.") for element in elements)
