"""The base class of the harness's servers, which keep their port and end their connections on stop."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import suppress
from typing import Any

HOST = "127.0.0.1"
"""The address that every server of the harness listens on."""


class LoopbackServer(ABC):
    """A server on a free loopback port, which it keeps when it is started again."""

    def __init__(self) -> None:
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}

    @property
    def address(self) -> str:
        """Host and port; the port is 0 until the server has been started."""
        return f"{HOST}:{self._port}"

    async def start(self) -> None:
        """Listen on a free port, or on the same one as before a ``stop``."""
        self._server = await asyncio.start_server(self._accept, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuse new connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    @abstractmethod
    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, which is closed when this returns."""

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        try:
            # These exceptions end the connection; a cancelled task ends it like a connection error.
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            del self._connections[task]
            writer.close()
