"""Fixtures of the tests of client connections."""

from __future__ import annotations

import pytest

from tests.net.downstream.builders import ClientConnections


@pytest.fixture
def clients() -> ClientConnections:
    """A table of connections with three slots."""
    return ClientConnections(capacity=3)
