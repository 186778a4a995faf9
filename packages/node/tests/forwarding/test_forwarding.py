"""Tests of requests on their way between an ingress node and an owner."""

from __future__ import annotations

import asyncio
from typing import Any

from bamboonotch_core import request_events as events
from bamboonotch_node.forwarding import _pool
from bamboonotch_testing.backend_server import Mode
from tests.forwarding.support import PathNode, PathTest, get

LARGE_BYTES = 32 * 1024 * 1024


class SlowReader(asyncio.Protocol):
    """A caller that sends one request and reads nothing of the answer until it is let."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.received_bytes = 0
        self.first = asyncio.get_running_loop().create_future()
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.transport = transport
        transport.write(f"GET {self.path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Stop reading after the first bytes."""
        self.received_bytes += len(data)
        if not self.first.done():
            self.first.set_result(None)
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.lost.set_result(exc)


class MeshTest(PathTest):
    """An ingress node, a fault proxy, an owner and a backend server."""

    async def start_mesh(self, *times: str, **options: Any) -> None:
        """Start the four parts."""
        self.server, address = self.start_backend(*times)
        self.owner = await self.start_node("owner", backend=address, **options)
        self.proxy = self.start_proxy(self.owner.peer_address)
        self.ingress = await self.start_node("ingress", **options)
        self.ingress.owner = ("owner", self.proxy.address)
        self.caller = self.start_caller(self.ingress.http_address)

    def start_call(self, request_id: str, path: str = "/", **options: Any) -> asyncio.Task[Any]:
        """Start a call and go on."""
        call = get(request_id, path, **options)
        return asyncio.get_running_loop().create_task(self.caller.send(call))

    def assert_done(self, record: Any) -> None:
        """Check that a call has its own complete answer."""
        self.assertEqual((record.status, record.outcome, record.error), (200, "done", ""))
        self.assertTrue(record.complete and record.own_answer)


class ForwardingTest(MeshTest):
    """Streams that work."""

    def test_crossing_answers(self) -> None:
        """Guards against answers that reach another caller when they arrive out of order."""

        async def main() -> None:
            await self.start_mesh("uniform:0:60")
            calls = [
                self.start_call(f"crossing-{number}", f"/?size={number % 7 * 9000}&n={number}")
                for number in range(60)
            ]
            for record in await asyncio.gather(*calls):
                self.assert_done(record)
            self.assertEqual(self.proxy.connections, 1)

        self.run_async(main)

    def test_bodies_and_headers(self) -> None:
        """Guards against request bodies, headers, time or attempt numbers lost on the way."""

        async def main() -> None:
            await self.start_mesh()
            key = "01890a5d-ac96-774b-bcce-b302099a8057"
            record = await self.start_call(
                "bodies",
                "/orders?size=100000",
                method="POST",
                body=b"b" * 300_000,
                idempotency_key=key,
                timeout_ms=5000,
                headers=(("Bamboonotch-Attempt", "2"), ("X-Other", "kept")),
            )
            self.assert_done(record)
            run = self.server.state.runs[0]
            self.assertEqual((run.idempotency_key, run.attempt, run.method), (key, "2", "POST"))
            self.assertTrue(4000 < int(run.timeout_ms) <= 5000, run.timeout_ms)
            offered = self.owner.seen(events.WorkOffered)[0]
            self.assertEqual(offered.idempotency_key, key)
            self.assertEqual(self.ingress.seen(events.OwnerResponded)[0].load, 3)

        self.run_async(main)

    def test_large_download_does_not_delay_small_request(self) -> None:
        """Guards against a download, or a caller that does not read, that blocks the stream."""

        async def main() -> None:
            await self.start_mesh()
            loop = asyncio.get_running_loop()
            _, reader = await loop.create_connection(
                lambda: SlowReader(f"/plans?size={LARGE_BYTES}"),
                "127.0.0.1",
                self.ingress.http_port,
            )
            await reader.first
            download = self.start_call("large", f"/plans?size={LARGE_BYTES}")
            await self.ingress.wait_for(events.OwnerResponded, 2)
            for number in range(20):
                self.assert_done(await self.start_call(f"small-{number}"))
            self.assertFalse(download.done())
            self.assert_done(await download)
            # The download that nobody reads is held back at the backend server, but for the
            # windows and socket buffers on the way.
            self.assertFalse(reader.lost.done())
            finished = self.owner.seen(events.BackendFinished)
            self.assertEqual(len(finished), 21)
            reader.transport.abort()
            await self.ingress.wait_for(events.CallerGone)
            await self.owner.wait_for(events.WorkCancelled)
            self.assertEqual(self.proxy.connections, 1)

        self.run_async(main)

    def test_unread_download_is_bounded_at_ingress(self) -> None:
        """Guards against a download that piles up in the memory of the nodes."""

        async def main() -> None:
            await self.start_mesh()
            _, reader = await asyncio.get_running_loop().create_connection(
                lambda: SlowReader(f"/plans?size={LARGE_BYTES}"),
                "127.0.0.1",
                self.ingress.http_port,
            )
            await reader.first
            for number in range(50):
                self.assert_done(await self.start_call(f"small-{number}"))
            passed = sum(self.proxy.bytes_passed.values())
            self.assertLess(passed, LARGE_BYTES // 2)
            reader.transport.resume_reading()
            await self.owner.wait_for(events.BackendFinished, 51)
            await self.ingress.wait_for(events.ResponseFinished, 51)
            self.assertTrue(all(e.complete for e in self.ingress.seen(events.ResponseFinished)))
            reader.transport.abort()

        self.run_async(main)

    def test_broken_transfer_reaches_caller_as_broken(self) -> None:
        """Guards against an incomplete body that looks complete (P4)."""

        async def main() -> None:
            await self.start_mesh()
            for number, query in enumerate(("", "&chunked=1")):
                reader = SlowReader(f"/plans?size={LARGE_BYTES}{query}")
                await asyncio.get_running_loop().create_connection(
                    lambda reader=reader: reader, "127.0.0.1", self.ingress.http_port
                )
                await reader.first
                # Without a new stream the response cannot go on.
                await self.proxy.refuse()
                self.proxy.cut()
                finished = await self.ingress.wait_for(events.ResponseFinished, number + 1)
                self.assertFalse(finished.complete)
                reader.transport.resume_reading()
                self.assertIsInstance(await reader.lost, ConnectionError)
                self.proxy.accept()

        self.run_async(main)

    def test_broken_backend_response_reaches_caller_as_broken(self) -> None:
        """Guards against a body that the backend server broke off and that looks complete."""

        async def main() -> None:
            await self.start_mesh()
            for query in ("", "&chunked=1"):
                record = await self.start_call("broken", f"/?size=900000&break=500000{query}")
                self.assertFalse(record.complete)
                record = await self.start_call("unknown", f"/?size=9000&break=5000{query}")
                self.assertEqual(record.status, 502)
            self.assertEqual(len(self.server.state.runs), 4)

        self.run_async(main)

    def test_caller_gone_cancels_backend(self) -> None:
        """Guards against work that goes on for a caller that has left."""

        async def main() -> None:
            await self.start_mesh("5000")
            reader = SlowReader("/slow")
            await asyncio.get_running_loop().create_connection(
                lambda: reader, "127.0.0.1", self.ingress.http_port
            )
            await self.owner.wait_for(events.WorkOffered)
            while not self.server.state.runs:
                await asyncio.sleep(0)
            reader.transport.abort()
            finished = await self.owner.wait_for(events.BackendFinished)
            self.assertIs(finished.result, events.BackendResult.UNKNOWN)
            while self.server.state.runs[0].end == "running":
                await asyncio.sleep(0)
            self.assertEqual(self.server.state.runs[0].end, "cancelled")

        self.run_async(main)

    def test_own_backend_without_a_stream(self) -> None:
        """Guards against work for the own node that takes the way over a stream, or stalls."""

        async def main() -> None:
            await self.start_mesh()
            self.owner.owner = ("owner", "")
            caller = self.start_caller(self.owner.http_address)
            self.assert_done(await caller.send(get("own-1")))
            self.assert_done(await caller.send(get("own-2", f"/?size={LARGE_BYTES}")))
            self.server.set_mode(Mode.SHED)
            self.assertEqual((await caller.send(get("own-3"))).outcome, "not-run")
            self.assertEqual(self.proxy.connections, 0)

        self.run_async(main)

    def test_idle_stream_is_closed(self) -> None:
        """Guards against streams to owners that are no longer in use."""

        async def main() -> None:
            await self.start_mesh()
            self.addCleanup(setattr, _pool, "IDLE_STREAM_S", _pool.IDLE_STREAM_S)
            self.addCleanup(setattr, _pool, "IDLE_CHECK_S", _pool.IDLE_CHECK_S)
            _pool.IDLE_STREAM_S = _pool.IDLE_CHECK_S = 0.05
            self.assert_done(await self.start_call("before"))
            while not any(
                report.name == "forward-stream-closed" for report in self.ingress.reports
            ):
                await asyncio.sleep(0.01)
            self.assert_done(await self.start_call("after"))
            self.assertEqual(self.proxy.connections, 2)

        self.run_async(main)


class LostStreamTest(MeshTest):
    """Streams that go silent, break or lead to another process."""

    def test_silent_stream_fences_undispatched_work(self) -> None:
        """Guards against work that is stuck, or runs later, when its stream goes silent."""

        async def main() -> None:
            await self.start_mesh()
            self.owner.hold_work = True
            call = self.start_call("stuck")
            await self.owner.wait_for(events.WorkOffered)
            self.proxy.freeze()
            lost = await self.ingress.wait_for(events.AttemptLost)
            self.assertTrue(lost.sent)
            answered = await self.ingress.wait_for(events.FenceAnswered)
            self.assertIs(answered.state, events.FenceState.NOT_RUN)
            self.assertEqual((await call).outcome, "not-run")
            self.owner.hold_work = False
            self.assert_done(await self.start_call("after"))
            self.assertEqual([run.request_id for run in self.server.state.runs], ["after"])
            self.assertEqual(self.proxy.connections, 2)

        self.run_async(main)

    def test_running_work_answers_over_new_stream(self) -> None:
        """Guards against a lost answer of running work when its stream goes silent."""

        async def main() -> None:
            await self.start_mesh("3000")
            call = self.start_call("running")
            await self.owner.wait_for(events.WorkOffered)
            self.proxy.freeze()
            answered = await self.ingress.wait_for(events.FenceAnswered)
            self.assertIs(answered.state, events.FenceState.RUNNING)
            self.assert_done(await call)
            self.assertEqual(len(self.server.state.runs), 1)

        self.run_async(main)

    def test_lost_answer_is_sent_again(self) -> None:
        """Guards against an answer lost in a silent stream after the work was done."""

        async def main() -> None:
            await self.start_mesh("100")
            call = self.start_call("lost-answer", "/?size=5000")
            await self.owner.wait_for(events.WorkOffered)
            self.proxy.freeze()
            await self.owner.wait_for(events.BackendFinished)
            self.assert_done(await call)
            self.assertEqual(len(self.server.state.runs), 1)
            self.assertEqual(len(self.ingress.seen(events.AttemptLost)), 1)

        self.run_async(main)

    def test_restarted_owner_is_unknown_at_once(self) -> None:
        """Guards against "not run" from a process that never knew the attempt (P5)."""

        async def main() -> None:
            await self.start_mesh("5000", fence_timeout_ms=8000)
            call = self.start_call("restarted")
            await self.owner.wait_for(events.WorkOffered)
            port = self.owner.peer_port
            await self.owner.close()
            second = PathNode("owner", backend=self.owner.backend, incarnation=2)
            await second.start(port)
            self.closers.append(second.close)
            answered = await self.ingress.wait_for(events.FenceAnswered)
            self.assertIs(answered.state, events.FenceState.UNKNOWN)
            lost = self.ingress.seen(events.AttemptLost)[0]
            self.assertLess(answered.now_ms - lost.now_ms, 4000)
            self.assertEqual((await call).outcome, "unknown")
            self.assertEqual(second.seen(events.FenceReceived), [])

        self.run_async(main)

    def test_dead_owner(self) -> None:
        """Guards against an attempt that never ends because its owner takes no connections."""

        async def main() -> None:
            await self.start_mesh()
            await self.proxy.refuse()
            self.assertEqual((await self.start_call("unsent")).outcome, "not-run")
            self.assertFalse(self.ingress.seen(events.AttemptLost)[0].sent)
            self.proxy.accept()
            self.assert_done(await self.start_call("after"))

        self.run_async(main)

    def test_fence_without_answer_is_unknown(self) -> None:
        """Guards against a fence that waits for ever for a dead owner."""

        async def main() -> None:
            await self.start_mesh("5000", fence_timeout_ms=300)
            call = self.start_call("unanswered")
            await self.owner.wait_for(events.WorkOffered)
            await self.proxy.refuse()
            self.proxy.cut()
            answered = await self.ingress.wait_for(events.FenceAnswered)
            self.assertIs(answered.state, events.FenceState.UNKNOWN)
            self.assertEqual((await call).outcome, "unknown")

        self.run_async(main)

    def test_wrong_owner_gets_nothing(self) -> None:
        """Guards against work for one node that reaches another at the same address."""

        async def main() -> None:
            await self.start_mesh()
            self.ingress.owner = ("somebody-else", self.proxy.address)
            self.assertEqual((await self.start_call("wrong")).outcome, "not-run")
            self.assertEqual(self.owner.seen(events.WorkOffered), [])

        self.run_async(main)

    def test_orphaned_work_is_cancelled(self) -> None:
        """Guards against work that goes on for an ingress that never comes back."""

        async def main() -> None:
            await self.start_mesh("9000", fence_timeout_ms=100)
            call = self.start_call("orphan")
            await self.owner.wait_for(events.WorkOffered)
            await self.proxy.refuse()
            self.proxy.cut()
            await self.owner.wait_for(events.WorkCancelled)
            finished = await self.owner.wait_for(events.BackendFinished)
            self.assertIs(finished.result, events.BackendResult.UNKNOWN)
            await call

        self.run_async(main)
