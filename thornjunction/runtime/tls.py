"""TLS for the second front, with a certificate and key that change in service (pyOpenSSL through
Twisted).  Each new connection takes the context in force when it is accepted, so that open connections, and a
handshake under way, keep theirs; the files are read again at SIGHUP and on a timer, and a pair that is
broken, or whose key is not the certificate's, changes nothing and is named in the log.

TLS 1.2 at least; renegotiation refused (OpenSSL's ``OP_NO_RENEGOTIATION``), since a client could make the
server pay for a handshake again and again on one connection."""

from __future__ import annotations

import hashlib
from collections import Counter

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from OpenSSL import SSL, crypto
from twisted.internet.interfaces import IOpenSSLContextFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.logs import get_logger
from thornjunction.runtime.extras import TlsError, TlsFiles

log = get_logger(__name__)


def context_of(chain: bytes, key: bytes) -> SSL.Context:
    """A server context; TlsError for a pair that is broken or does not match."""
    context = SSL.Context(SSL.TLS_SERVER_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION | SSL.OP_CIPHER_SERVER_PREFERENCE)
    try:
        first, *rest = x509.load_pem_x509_certificates(chain)
        context.use_certificate(first)
        for extra in rest:
            context.add_extra_chain_cert(crypto.X509.from_cryptography(extra))
        private = serialization.load_pem_private_key(key, password=None)
        context.use_privatekey(private)  # type: ignore[arg-type]
        context.check_privatekey()
    except (SSL.Error, crypto.Error, ValueError, TypeError) as error:
        raise TlsError("certificate and key don't make a pair") from error
    return context


@implementer(IOpenSSLContextFactory)
class CertWatch:
    """The context factory of the front's TLS port: ``getContext`` gives the context in force.  ``counts``
    has ``accepted``, ``refused`` and ``same``."""

    def __init__(self, files: TlsFiles) -> None:
        self.files, self.digest = files, ""
        self.counts = Counter[str]()
        self.context: SSL.Context | None = None
        self.look()
        if self.context is None:
            raise TlsError(f"signed.tls: {files.cert.name} and {files.key.name} can't serve")

    def getContext(self) -> SSL.Context:  # noqa: N802
        assert self.context is not None
        return self.context

    def look(self) -> None:
        """Read both files; take them where they are new and make a pair."""
        try:
            chain, key = self.files.cert.read_bytes(), self.files.key.read_bytes()
            digest = hashlib.sha256(chain + b"\0" + key).hexdigest()[:16]
            if digest == self.digest:
                self.counts["same"] += 1
                return
            self.context = context_of(chain, key)
        except (OSError, TlsError) as error:
            self.counts["refused"] += 1
            log.error("tls refused, nothing changed", reason=str(getattr(error, "strerror", None) or error))
            return
        self.digest = digest
        self.counts["accepted"] += 1
        log.info("tls", version=digest)
