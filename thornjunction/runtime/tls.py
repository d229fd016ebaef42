"""TLS for the signed front, with a certificate and key that change in service (pyOpenSSL through Twisted).

Each new connection takes the context in force when it is accepted, so that open connections, and a handshake
under way, keep theirs.  The files are read again at SIGHUP and on a timer; a pair that is broken, or whose
key is not the certificate's, changes nothing and is logged.

TLS 1.2 at least.  Renegotiation is refused (OpenSSL's ``OP_NO_RENEGOTIATION``), since a client could make the
server pay for a handshake again and again on one connection.
"""

from __future__ import annotations

import hashlib
from collections import Counter

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from OpenSSL import SSL, crypto
from twisted.internet.interfaces import IOpenSSLContextFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.runtime.errors import TlsError
from thornjunction.runtime.signed_settings import TlsFiles

# Hexadecimal digits of a digest that distinguish two versions of the files in the log.
DIGEST_CHARACTERS = 16

log = get_logger(__name__)


class KeyMismatchError(TlsError):
    """A certificate or key that is broken, or a key of another certificate."""

    def __init__(self) -> None:
        super().__init__("certificate and key don't make a pair")


class NoCertificateError(TlsError):
    """Files that give no context at the start."""

    def __init__(self, files: TlsFiles) -> None:
        super().__init__(f"signed.tls: {files.cert.name} and {files.key.name} can't serve")


def build_context(chain: bytes, key: bytes) -> SSL.Context:
    """Build a server context from PEM texts.  Raises KeyMismatchError where they can't serve."""
    context = SSL.Context(SSL.TLS_SERVER_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION | SSL.OP_CIPHER_SERVER_PREFERENCE)
    try:
        certificate, *intermediates = x509.load_pem_x509_certificates(chain)
        context.use_certificate(certificate)
        for intermediate in intermediates:
            context.add_extra_chain_cert(crypto.X509.from_cryptography(intermediate))
        private_key = serialization.load_pem_private_key(key, password=None)
        context.use_privatekey(private_key)  # type: ignore[arg-type]
        context.check_privatekey()
    except (SSL.Error, crypto.Error, ValueError, TypeError) as error:
        raise KeyMismatchError from error
    return context


@implementer(IOpenSSLContextFactory)
class CertificateReloader:
    """The context factory of the front's TLS port.

    Attributes:
        counts: reads of the files by result: ``accepted``, ``refused`` or ``same``.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.counts = Counter[str]()
        self._files = files
        self._digest = ""
        self._context: SSL.Context | None = None
        self.reload()
        if self._context is None:
            raise NoCertificateError(files)

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Return the context in force."""
        assert self._context is not None
        return self._context

    def reload(self) -> None:
        """Read both files and use them where they are new and make a pair."""
        try:
            chain = self._files.cert.read_bytes()
            key = self._files.key.read_bytes()
            digest = hashlib.sha256(chain + b"\0" + key).hexdigest()[:DIGEST_CHARACTERS]
            if digest == self._digest:
                self.counts["same"] += 1
                return
            self._context = build_context(chain, key)
        except OSError as error:
            self._refuse(error.strerror or str(error))
            return
        except TlsError as error:
            self._refuse(str(error))
            return
        self._digest = digest
        self.counts["accepted"] += 1
        log.info(LogEvent.CERTIFICATE_ACCEPTED, version=digest)

    def _refuse(self, reason: str) -> None:
        self.counts["refused"] += 1
        log.error(LogEvent.CERTIFICATE_REJECTED, cause=reason)
