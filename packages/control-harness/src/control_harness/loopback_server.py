"""What the rig's own listeners share: a port that stays the same, and connections that end with it."""

from __future__ import annotations

import asyncio
from typing import Any


class Server:
    """Listens on a free loopback port.  ``serve`` is a kind's own; its connection ends as it returns."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._serving: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def up(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def down(self) -> None:
        """Refuse, and reset all that is connected."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._serving.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving[task] = writer
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection's end; one that was cancelled ends like the others
        finally:
            del self._serving[task]
            writer.close()
