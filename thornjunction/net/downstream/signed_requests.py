"""Verification of the signed front's requests, and the surroundings that its connections share."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest
from thornjunction.net.downstream.ports import RequestCore
from thornjunction.net.gossip.replay_gossip import ReplayGossip
from thornjunction.net.wire import http1, signed
from thornjunction.signing import tokens
from thornjunction.signing.address import Forwarding, client_address
from thornjunction.signing.replay import ReplayWindow

# Random bytes of the transaction id that this front gives a request, because clients send none.
TRANSACTION_ID_BYTES = 8


@dataclass(slots=True)
class SignedRequestContext:
    """The surroundings that all connections of this front share.

    Attributes:
        core: takes the requests.
        classes: the request classes by name.
        base: scheme and authority with which the signed URIs begin.
        trust: the accepted keys; replaced atomically when the key set changes.
        replay_window: the tokens with a ``jti`` that were used.
        unix_s: returns the Unix time in seconds.
        forwarding: which peers may report the client's address, and in which header.
        gossip: sends each used ``jti`` to the peers; None if there are no peers.
    """

    core: RequestCore
    classes: Mapping[str, api.RequestClass]
    base: str
    trust: tokens.Trust
    replay_window: ReplayWindow
    unix_s: Callable[[], float]
    forwarding: Forwarding = field(default_factory=Forwarding)
    gossip: ReplayGossip | None = None


@dataclass(slots=True)
class VerifiedRequest:
    """A request whose token was verified.

    Attributes:
        request: the request itself.
        target: its path and query without the token.
        grant: what the token allows.
        call: the request for the core.
    """

    request: http1.HttpRequest
    target: str
    grant: tokens.Grant
    call: ClientRequest


def verify_request(
    request: http1.HttpRequest, peer_host: str, context: SignedRequestContext
) -> VerifiedRequest:
    """Verify a request's token and decode the request.

    Args:
        request: the request as it was received.
        peer_host: the host of the connection's peer.
        context: the accepted keys, the replay window and the request classes.

    Raises:
        RequestError: the request is malformed or not supported.
        TokenError: its token does not admit the request.
    """
    target, token = signed.split_token(request)
    now_s = context.unix_s()
    client = client_address(peer_host, request.headers, context.forwarding)
    grant = tokens.verify(token, context.base + target, context.trust, context.replay_window, now_s, client)
    transaction_id = secrets.token_hex(TRANSACTION_ID_BYTES)
    call = signed.decode_request(request, target, transaction_id, context.classes)
    return VerifiedRequest(request, target, grant, call)
