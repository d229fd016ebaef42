"""Kinds of failed connects: due to the server, to the network, or to this machine."""

from __future__ import annotations

import errno
from enum import Enum

from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

# Errors of the system that mean that the network did not reach the server.
NETWORK_ERRORS = {
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.ECONNRESET,
    errno.ECONNABORTED,
}

# Name of the failure with which Twisted's endpoints report a cancelled connect.
CANCELLED_CONNECT_ERROR = "ConnectingCancelledError"


class ConnectFailure(Enum):
    """Why a connect failed; the values are logged."""

    REFUSED = "refused"
    """The server's machine answered that no process listens there."""

    TIMED_OUT = "timed-out"
    """The connection did not come up within the connect timeout."""

    UNREACHABLE = "unreachable"
    """The system found no route to the server."""

    LOCAL = "local"
    """This machine lacked a port, a descriptor or memory; also any error that is not known."""


def connect_failure(reason: Failure) -> ConnectFailure:
    """Return the kind of a failed connect; one that our deadline cancelled has timed out."""
    error = reason.value
    number = error.osError if isinstance(error, ConnectError) else None
    if number == errno.ECONNREFUSED:
        return ConnectFailure.REFUSED
    if number in NETWORK_ERRORS:
        return ConnectFailure.UNREACHABLE
    if isinstance(error, CancelledError) or type(error).__name__ == CANCELLED_CONNECT_ERROR:
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.LOCAL
