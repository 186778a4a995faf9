"""What responses to callers take from the link of a VM."""

from __future__ import annotations

import asyncio

from tests.forwarding.support import PathTest

SIZE_BYTES = 40_000


class ChargedResponseTest(PathTest):
    """A caller on this VM and one on another host, which has an address of its own here."""

    async def charged_bytes(self, caller_host: str) -> int:
        """Return what one response takes from the link, in bytes."""
        _, address = self.start_backend()
        node = await self.start_node("node", backend=address)
        charged: list[int] = []
        node.path.ingress.note_sent = charged.append
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.http_port, local_addr=(caller_host, 0)
        )
        self.closers.append(writer.close)
        writer.write(f"GET /?size={SIZE_BYTES} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(SIZE_BYTES)
        return sum(charged)

    def test_response_to_another_host(self) -> None:
        """Guards against nested calls whose responses wait in a link that holds too many bodies.

        Bodies were paced as if nothing else left over the link.
        """

        async def main() -> None:
            self.assertGreaterEqual(await self.charged_bytes("127.0.0.2"), SIZE_BYTES)

        self.run_async(main)

    def test_response_on_this_vm(self) -> None:
        """Guards against a link that counts as used by calls of the local backend server."""

        async def main() -> None:
            self.assertEqual(await self.charged_bytes("127.0.0.1"), 0)

        self.run_async(main)
