"""TLS of the signed front: a new certificate applies to new connections only, a faulty pair to none."""

from __future__ import annotations

import datetime
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from fakes.clients import HttpClient
from fakes.event_loop import Steps
from fakes.loopback_environment import LoopbackEnvironment
from OpenSSL import SSL
from twisted.internet import protocol, reactor, ssl, threads
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import SSL4ClientEndpoint
from twisted.trial.unittest import TestCase

from tests.loopback import FILM_PATH, make_loopback_environment
from thornjunction.net.downstream.signed_front import SignedConnection
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.runtime.errors import TlsError
from thornjunction.runtime.signed_settings import TlsFiles
from thornjunction.runtime.tls import CertificateReloader

# Start and length of the certificates' validity.
VALID_FROM = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
VALIDITY = datetime.timedelta(days=3650)

READ_BYTES = 10


def make_key_pair(name: str) -> tuple[bytes, bytes]:
    """Return a self-signed certificate for a name, and its key, as PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(VALID_FROM)
        .not_valid_after(VALID_FROM + VALIDITY)
    )
    certificate = builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
    key_text = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return certificate, key_text


class EchoServer(protocol.Protocol):
    """Echoes bytes; calls ``on_accept`` when a connection is accepted, before its handshake completes."""

    def __init__(self, on_accept: Callable[[], None]) -> None:
        self._on_accept = on_accept

    def connectionMade(self) -> None:  # noqa: N802
        """Call ``on_accept``."""
        self._on_accept()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Send the bytes back."""
        self.transport.write(data)


class CertificateClient(protocol.Protocol):
    """Sends bytes; at each echo ``certificate_name`` fires with the name in the server's certificate."""

    def __init__(self) -> None:
        self.certificate_name: Deferred[str] = Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first bytes."""
        self.transport.write(b"ping")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Fire the deferred with the name, and create the one for the next echo."""
        subject = self.transport.getPeerCertificate().to_cryptography().subject
        name = subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value
        waiter = self.certificate_name
        self.certificate_name = Deferred()
        waiter.callback(name)


class TlsTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        # Trial's own mktemp() would leave private keys in the working folder.
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        folder = Path(temporary.name)
        self.files = TlsFiles(folder / "cert.pem", folder / "key.pem")
        self.write_pair("one")
        self.reloader = CertificateReloader(self.files)
        self.pair_at_accept = ""
        server = protocol.Factory.forProtocol(lambda: EchoServer(self.swap_pair))
        self.port = reactor.listenSSL(0, server, self.reloader, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)

    def write_pair(self, name: str, key_of: str = "") -> None:
        """Write the certificate for ``name`` and its key, or the key for another name, ``key_of``."""
        certificate, key = make_key_pair(name)
        self.files.cert.write_bytes(certificate)
        self.files.key.write_bytes(make_key_pair(key_of)[1] if key_of else key)

    def reload_pair(self, name: str, key_of: str = "") -> None:
        """Write a pair and make the reloader read it."""
        self.write_pair(name, key_of)
        self.reloader.reload()

    def swap_pair(self) -> None:
        """During a handshake, reload the pair that the test set in ``pair_at_accept``, if any."""
        if self.pair_at_accept:
            self.reload_pair(self.pair_at_accept)
            self.pair_at_accept = ""

    @inlineCallbacks
    def connect(self) -> Steps[tuple[CertificateClient, str]]:
        """Connect, and return the client and the name in the server's certificate."""
        client = CertificateClient()
        factory = protocol.ClientFactory.forProtocol(lambda: client)
        options = ssl.CertificateOptions()
        connector = reactor.connectSSL("127.0.0.1", self.port.getHost().port, factory, options)
        self.addCleanup(connector.disconnect)
        name = yield client.certificate_name
        return client, name

    @inlineCallbacks
    def test_new_connections_take_the_new_pair_and_open_ones_keep_theirs(self) -> Steps[None]:
        first, name = yield self.connect()
        assert name == "one"
        self.reload_pair("two")
        name_of_open_connection = first.certificate_name
        first.transport.write(b"again")
        assert (yield name_of_open_connection) == "one"
        _, name = yield self.connect()
        assert name == "two"
        self.reload_pair("three", key_of="else")
        _, name = yield self.connect()
        assert name == "two"
        self.pair_at_accept = "four"
        _, name = yield self.connect()
        _, next_name = yield self.connect()
        assert (name, next_name) == ("two", "four")
        assert dict(self.reloader.counts) == {"accepted": 3, "refused": 1}

    @inlineCallbacks
    def connect_to_signed_front(self, environment: LoopbackEnvironment) -> Steps[HttpClient]:
        """Listen for TLS with a signed front of the environment, and connect a client."""
        deadlines = environment.timer_service.deadlines
        table = environment.downstream_table
        factory = BuildFactory(
            lambda: SignedConnection(table, deadlines, core_ms, environment.signed_context)
        )
        port = reactor.listenSSL(0, factory, self.reloader, interface="127.0.0.1")
        environment.ports.append(port)
        options = ssl.CertificateOptions()
        endpoint = SSL4ClientEndpoint(reactor, "127.0.0.1", port.getHost().port, options)
        client = yield endpoint.connect(protocol.Factory.forProtocol(HttpClient))
        return client

    @inlineCallbacks
    def test_the_signed_front_serves_a_signed_url_over_tls(self) -> Steps[None]:
        environment = make_loopback_environment()
        self.addCleanup(environment.stop)
        client = yield self.connect_to_signed_front(environment)
        client.send_request(environment.sign_target(FILM_PATH))
        (response,) = yield client.wait_for_answers(1)
        assert (response.status, response.body) == (200, b"wave")
        with patch.object(environment.engine, "open") as opened:
            self.send_request_and_shut_down(client, environment.sign_target(FILM_PATH))
            yield environment.wait_until(lambda: not environment.downstream_table.connection_count)
        opened.assert_not_called()
        client.transport.loseConnection()
        yield client.connection_lost

    def send_request_and_shut_down(self, client: HttpClient, target: str) -> None:
        """Make a request and the end of its connection arrive before the router reads either."""
        tcp_transport = client.transport.transport
        client.send_request(target)
        # Twisted aggregates small writes; flush them.
        client.transport._aggregator.flush()
        tcp_transport.doWrite()
        tcp_transport.socket.shutdown(socket.SHUT_WR)

    @inlineCallbacks
    def test_renegotiation_is_refused_and_other_connections_are_served(self) -> Steps[None]:
        """A TLS 1.2 connection on which the client renegotiates is closed; others are not affected."""
        result = yield threads.deferToThread(renegotiate, ("127.0.0.1", self.port.getHost().port))
        assert result == ("a", "no renegotiation")
        _, name = yield self.connect()
        assert name == "one"

    def test_an_unusable_pair_prevents_the_start(self) -> None:
        self.write_pair("five", key_of="else")
        with pytest.raises(TlsError):
            CertificateReloader(self.files)


def renegotiate(address: tuple[str, int]) -> tuple[str, str]:
    """Act as a blocking TLS 1.2 client; return its first echo, and the error of its renegotiation."""
    context = SSL.Context(SSL.TLS_CLIENT_METHOD)
    context.set_max_proto_version(SSL.TLS1_2_VERSION)
    with socket.create_connection(address) as tcp_connection:
        client = SSL.Connection(context, tcp_connection)
        client.set_connect_state()
        client.send(b"a")
        echo = client.recv(READ_BYTES).decode()
        client.renegotiate()
        try:
            client.do_handshake()
            client.send(b"b")
            return echo, client.recv(READ_BYTES).decode()
        except SSL.Error as error:
            return echo, str(error.args[0][0][2])
