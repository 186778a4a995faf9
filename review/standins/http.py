"""Minimal HTTP/1.1 over asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises ``IncompleteReadError`` when the connection ends before it."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            pieces.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(pieces)
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: str, start: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 5.0
) -> Message | None:
    """Send a request on a new connection; ``None`` when there is no complete response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(start, headers, body))
            response = await read_head(reader)
            response.body = await read_body(reader, response)
            return response
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


Handler = Callable[[Message], Awaitable[bytes | None]]


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve requests one at a time on each connection; ``None`` from the handler closes it."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                answer = await handler(request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(connected, host, int(port))
