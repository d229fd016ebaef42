"""TLS of the second front: a certificate changed in service reaches new connections only, and a broken pair
changes nothing."""

from __future__ import annotations

import datetime
import socket
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from fakes.clients import HttpClient
from OpenSSL import SSL
from twisted.internet import protocol, reactor, ssl, threads
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import SSL4ClientEndpoint
from twisted.trial.unittest import TestCase

from tests.loopback import CLIP, make_loopback_environment
from thornjunction.net.downstream.signed_front import SignedConnection
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.runtime.errors import TlsError
from thornjunction.runtime.signed_settings import TlsFiles
from thornjunction.runtime.tls import CertificateReloader


def pair(name: str) -> tuple[bytes, bytes]:
    """A self-signed certificate for a name, and its key, as PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    built = x509.CertificateBuilder().subject_name(subject).issuer_name(subject).public_key(key.public_key())
    built = built.serial_number(1).not_valid_before(now).not_valid_after(now + datetime.timedelta(days=3650))
    cert = built.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
    pem, pkcs8 = serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8
    return cert, key.private_bytes(pem, pkcs8, serialization.NoEncryption())


class Echo(protocol.Protocol):
    """Echoes; ``made`` is called once the TLS connection exists and before its handshake is done."""

    def __init__(self, made: Any) -> None:
        self.made = made

    def connectionMade(self) -> None:  # noqa: N802
        self.made()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.transport.write(data)


class Asker(protocol.Protocol):
    """Sends a word and keeps the name on the server's certificate once the echo is back."""

    def __init__(self) -> None:
        self.heard: Deferred[str] = Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(b"ping")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        subject = self.transport.getPeerCertificate().to_cryptography().subject
        name = subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value
        heard, self.heard = self.heard, Deferred()
        heard.callback(name)


class TlsTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()  # trial's own mktemp() leaves keys in the working folder
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.files = TlsFiles(self.folder / "cert.pem", self.folder / "key.pem")
        self.write("one")
        self.watch = CertificateReloader(self.files)
        self.swap_at_accept = ""
        server = protocol.Factory.forProtocol(lambda: Echo(self._swap))
        self.port = reactor.listenSSL(0, server, self.watch, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)

    def write(self, name: str, key_of: str = "") -> None:
        cert, key = pair(name)
        self.files.cert.write_bytes(cert)
        self.files.key.write_bytes(pair(key_of)[1] if key_of else key)

    def _swap(self) -> None:
        if self.swap_at_accept:
            self.write(self.swap_at_accept)
            self.watch.reload()
            self.swap_at_accept = ""

    @inlineCallbacks
    def connect(self) -> Any:
        asker = Asker()
        factory = protocol.ClientFactory.forProtocol(lambda: asker)
        connector = reactor.connectSSL(
            "127.0.0.1", self.port.getHost().port, factory, ssl.CertificateOptions()
        )
        self.addCleanup(connector.disconnect)
        name = yield asker.heard
        return asker, name

    @inlineCallbacks
    def test_new_connections_take_the_new_pair_and_open_ones_keep_theirs(self) -> Any:
        first, name = yield self.connect()
        self.assertEqual(name, "one")
        self.write("two")
        self.watch.reload()
        heard = first.heard
        first.transport.write(b"again")
        self.assertEqual((yield heard), "one")  # not dropped, and still the old certificate
        _, name = yield self.connect()
        self.assertEqual(name, "two")
        self.write("three", key_of="else")  # a key that is not the certificate's
        self.watch.reload()
        _, name = yield self.connect()
        self.assertEqual(name, "two")
        self.swap_at_accept = "four"  # swapped while the handshake is under way
        _, name = yield self.connect()
        _, after = yield self.connect()
        self.assertEqual((name, after), ("two", "four"))
        self.assertEqual(dict(self.watch.counts), {"accepted": 3, "refused": 1})

    @inlineCallbacks
    def test_the_second_front_serves_a_signed_url_over_tls(self) -> Any:
        rig = make_loopback_environment()
        self.addCleanup(rig.stop)
        build = BuildFactory(
            lambda: SignedConnection(
                rig.downstream_table, rig.timer_service.deadlines, core_ms, rig.signed_context
            )
        )
        rig.ports.append(reactor.listenSSL(0, build, self.watch, interface="127.0.0.1"))
        port = rig.ports[-1].getHost().port
        endpoint = SSL4ClientEndpoint(reactor, "127.0.0.1", port, ssl.CertificateOptions())
        client = yield endpoint.connect(protocol.Factory.forProtocol(HttpClient))
        client.send_request(rig.sign_target(CLIP))
        (response,) = yield client.wait_for_answers(1)
        self.assertEqual((response.status, response.body), (200, b"wave"))
        below = client.transport.transport  # a request and its client's end lie there before the router looks
        with patch.object(rig.engine, "open") as opened:
            client.send_request(rig.sign_target(CLIP))
            client.transport._aggregator.flush()  # Twisted puts small writes together
            below.doWrite()
            below.socket.shutdown(socket.SHUT_WR)
            yield rig.wait_until(lambda: not rig.downstream_table.connection_count)
        opened.assert_not_called()
        client.transport.loseConnection()
        yield client.connection_lost

    @inlineCallbacks
    def test_renegotiation_is_refused_and_the_server_goes_on(self) -> Any:
        """A client that asks to renegotiate TLS 1.2 is told no and its connection ends; others go on."""
        told = yield threads.deferToThread(renegotiate, ("127.0.0.1", self.port.getHost().port))
        self.assertEqual(told, ("a", "no renegotiation"))
        _, name = yield self.connect()
        self.assertEqual(name, "one")

    def test_a_pair_that_cannot_serve_stops_the_start(self) -> None:
        self.write("five", key_of="else")
        with self.assertRaises(TlsError):
            CertificateReloader(self.files)


def renegotiate(address: tuple[str, int]) -> tuple[str, str]:
    """A blocking TLS 1.2 client: what it heard first, and the error of its renegotiation."""
    context = SSL.Context(SSL.TLS_CLIENT_METHOD)
    context.set_max_proto_version(SSL.TLS1_2_VERSION)
    with socket.create_connection(address) as plain:
        client = SSL.Connection(context, plain)
        client.set_connect_state()
        client.send(b"a")
        heard = client.recv(10).decode()
        client.renegotiate()
        try:
            client.do_handshake()
            client.send(b"b")
            return heard, client.recv(10).decode()
        except SSL.Error as error:
            return heard, str(error.args[0][0][2])
