"""HTTP/1.1 messages that two readers could interpret differently."""

from __future__ import annotations

import pytest

from thornjunction.net.wire import ProtocolError, http1


def test_a_second_content_length_is_rejected() -> None:
    with pytest.raises(ProtocolError, match="http-header-twice"):
        http1.RequestReader(9).feed(b"GET / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n")
