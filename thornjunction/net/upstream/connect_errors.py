"""Kinds of failed connects: due to the server, the network or this machine."""

from __future__ import annotations

import errno
from enum import Enum

from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

# System errors that mean that the server could not be reached over the network.
NETWORK_ERRORS = {
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENETDOWN,
    errno.EHOSTDOWN,
    errno.ECONNRESET,
    errno.ECONNABORTED,
}

# Name of the exception with which Twisted's endpoints report a cancelled connect.
CANCELLED_CONNECT_ERROR = "ConnectingCancelledError"


class ConnectFailure(Enum):
    """Why a connect failed; the values are logged."""

    REFUSED = "refused"
    """The server's machine refused the connection, because no process listens on the port."""

    TIMED_OUT = "timed-out"
    """The connection was not established within the connect timeout."""

    UNREACHABLE = "unreachable"
    """The server could not be reached over the network, for example because there is no route to it."""

    LOCAL = "local"
    """This machine lacked a port, a descriptor or memory; also used for any unknown error."""


def connect_failure(reason: Failure) -> ConnectFailure:
    """Return the kind of a failed connect; one that was cancelled by its deadline has timed out."""
    error = reason.value
    number = error.osError if isinstance(error, ConnectError) else None
    if number == errno.ECONNREFUSED:
        return ConnectFailure.REFUSED
    if number in NETWORK_ERRORS:
        return ConnectFailure.UNREACHABLE
    if isinstance(error, CancelledError) or type(error).__name__ == CANCELLED_CONNECT_ERROR:
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.LOCAL
