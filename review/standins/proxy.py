"""A proxy that holds what it gets for a set time before it connects onwards."""

from __future__ import annotations

import asyncio


class DelayProxy:
    """Delays the bytes of every connection.

    :param target: where the bytes go.
    :param delay_s: for how long they are held, in seconds.
    """

    def __init__(self, target: str, delay_s: float) -> None:
        self.target = target
        self.delay_s = delay_s
        self.delivered = asyncio.Event()

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._connected, host, int(port))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = await reader.read(65536)
        await asyncio.sleep(self.delay_s)
        host, _, port = self.target.rpartition(":")
        try:
            onward, sender = await asyncio.open_connection(host, int(port))
            sender.write(data)
            self.answer = await onward.read(65536)
            sender.close()
        except OSError as error:
            self.answer = str(error).encode()
        self.delivered.set()
        writer.close()
