"""TLS for the signed front, with a certificate and key that can be reloaded (pyOpenSSL through Twisted).

Each new connection uses the context in force when it is accepted; open connections and handshakes in progress
keep theirs.  The files are read again at SIGHUP and on a timer.  A pair that is malformed, or whose key does
not belong to the certificate, is logged and changes nothing.

TLS 1.2 is the minimum version.  Renegotiation is refused (OpenSSL's ``OP_NO_RENEGOTIATION``): a client could
use it to make the server compute one handshake after another on a single connection.
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

# Number of hexadecimal digits of a digest that identify a version of the files in the log.
DIGEST_CHARACTERS = 16

log = get_logger(__name__)


class KeyMismatchError(TlsError):
    """The certificate or key is malformed, or the key belongs to another certificate."""

    def __init__(self) -> None:
        super().__init__("certificate and key are malformed or do not match")


class NoCertificateError(TlsError):
    """The certificate and key files cannot be used at the start."""

    def __init__(self, files: TlsFiles) -> None:
        super().__init__(f"signed.tls: {files.cert.name} and {files.key.name} cannot be used")


def build_context(chain: bytes, key: bytes) -> SSL.Context:
    """Build a server context from PEM texts.  Raises KeyMismatchError if they cannot be used."""
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
        counts: number of reads of the files by result: ``accepted``, ``refused`` or ``same``.
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
        """Read both files, and use them if they are new and the key belongs to the certificate."""
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
