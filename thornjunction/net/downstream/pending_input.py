"""Reads the bytes that have arrived on a socket since the event loop last read it."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from thornjunction.net.downstream.lingering_close import MAX_DISCARDED_BYTES
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.event_loop.ports import Transport

# Maximum bytes of one read, as in Twisted.
READ_BYTES = 65_536


def receive_pending(transport: Transport, on_peer_gone: Callable[[DisconnectReason], None]) -> bytes:
    """Read the bytes that have arrived since the event loop last read.

    ``on_peer_gone`` is called if the client has closed or reset the connection, however many of its bytes are
    unread; they are not read then, because nobody awaits the answers to their requests.
    """
    handle = transport.getHandle()
    if has_peer_closed(transport):
        on_peer_gone(DisconnectReason.CLOSED_BY_PEER)
        return b""
    if not isinstance(handle, socket.socket):  # a TLS connection, which has its own buffer
        return b""
    received = bytearray()
    try:
        while len(received) < MAX_DISCARDED_BYTES:
            data = handle.recv(READ_BYTES)
            if not data:  # Twisted's next read returns nothing either, and it then ends the connection
                on_peer_gone(DisconnectReason.CLOSED_BY_PEER)
                break
            received += data
    except BlockingIOError:
        pass
    except OSError:
        on_peer_gone(DisconnectReason.RESET)
    return bytes(received)


def has_peer_closed(transport: Transport) -> bool:
    """Whether the client has shut down its sending side or reset the connection, even if bytes are unread."""
    tcp_transport = getattr(transport, "transport", None) or transport
    get_descriptor = getattr(tcp_transport, "fileno", None)
    if get_descriptor is None:  # no socket
        return False
    descriptor = get_descriptor()
    if descriptor < 0:  # the connection has ended
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))
