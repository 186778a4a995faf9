"""Resumption with peers that speak frames by hand, as an older or a faulty version would."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc
from grpc.aio import EOF

from bamboonotch_core import request_events as events
from bamboonotch_node.forwarding import _owner
from bamboonotch_node.forwarding._outbox import WINDOW_BYTES
from bamboonotch_testing.backend_server._body import answer_body
from bamboonotch_wire import bamboonotch_pb2 as pb
from bamboonotch_wire import bamboonotch_pb2_grpc as pb_grpc
from tests.forwarding.support import PathTest
from tests.forwarding.test_resumption import BODY, Caller

INGRESS_HELLO = pb.ForwardFrame(hello=pb.ForwardHello(node_id="peer", incarnation=1))
OWNER_HELLO = pb.ForwardFrame(hello=pb.ForwardHello(node_id="owner", incarnation=1))
SIZE_BYTES = 200_000
LARGE_BYTES = 900_000


class OwnerTest(PathTest):
    """An owner, and an ingress by hand."""

    async def start(self, path: str = f"/?size={SIZE_BYTES}") -> Any:
        """Start an owner, send it a request, and return the stream with the response."""
        self.server, address = self.start_backend()
        self.owner = await self.start_node("owner", backend=address)
        channel = grpc.aio.insecure_channel(self.owner.peer_address)
        self.closers.append(lambda: channel.close(None))
        self.stub = pb_grpc.NodeStub(channel)
        call = await self.open()
        head = pb.RequestHead(
            attempt_id="r/1",
            request_id="r",
            service="orders",
            request_class="c",
            remaining_ms=10_000.0,
            method="GET",
            path=path,
            last=True,
        )
        await call.write(pb.ForwardFrame(request_head=head))
        return call

    async def open(self) -> Any:
        """Open a stream and exchange the hellos."""
        call = self.stub.Forward()
        await call.write(INGRESS_HELLO)
        self.assertEqual((await call.read()).hello.node_id, "owner")
        return call

    async def read_body(self, call: Any, size_bytes: int) -> bytes:
        """Read frames until a part of the body has come, or its end."""
        body = b""
        while len(body) < size_bytes:
            frame = await call.read()
            if frame.WhichOneof("body") == "response_head":
                body += frame.response_head.body
            elif frame.WhichOneof("body") == "body_chunk":
                self.assertFalse(frame.body_chunk.aborted)
                body += frame.body_chunk.data
                if frame.body_chunk.last:
                    break
        return body

    async def resume(
        self,
        call: Any,
        number: int,
        received_bytes: int,
        window_bytes: int = WINDOW_BYTES,
        attempt_id: str = "r/1",
    ) -> bool:
        """Ask for the rest of the response and return the answer."""
        question = pb.Resume(
            attempt_id=attempt_id,
            number=number,
            received_bytes=received_bytes,
            window_bytes=window_bytes,
        )
        await call.write(pb.ForwardFrame(resume=question))
        while True:
            frame = await call.read()
            if frame.WhichOneof("body") == "resume_reply":
                self.assertEqual(frame.resume_reply.attempt_id, attempt_id)
                self.assertEqual(frame.resume_reply.number, number)
                return frame.resume_reply.resumed

    async def grant(self, call: Any, size_bytes: int) -> None:
        """Return credit."""
        credit = pb.Credit(attempt_id="r/1", size_bytes=size_bytes)
        await call.write(pb.ForwardFrame(credit=credit))

    @staticmethod
    def expected_body(size_bytes: int = SIZE_BYTES) -> bytes:
        """Return the body that the backend server sends."""
        return answer_body("r", size_bytes)

    def test_rest_begins_at_the_byte_asked_for(self) -> None:
        """Guards against bytes that are missing, or sent twice, where a response continues."""

        async def main() -> None:
            expected = self.expected_body()
            first = await self.start()
            self.assertEqual(await self.read_body(first, WINDOW_BYTES), expected[:WINDOW_BYTES])
            await self.grant(first, 20_000)
            second = await self.open()
            received = 33_333
            self.assertTrue(await self.resume(second, 1, received, 10_000))
            self.assertEqual(await self.read_body(second, 10_000), expected[received:][:10_000])
            received += 10_000
            first.cancel()
            third = await self.open()
            self.assertTrue(await self.resume(third, 2, received))
            while received < SIZE_BYTES:
                part = await self.read_body(third, min(WINDOW_BYTES, SIZE_BYTES - received))
                self.assertEqual(part, expected[received : received + len(part)])
                received += len(part)
                await self.grant(third, len(part))
            self.assertEqual(len(self.server.state.runs), 1)
            self.assertEqual(self.owner.seen(events.WorkCancelled), [])

        self.run_async(main)

    def test_resumed_again_and_again(self) -> None:
        """Guards against a backend server that stays held up for a stream that was lost."""
        for step_bytes in (1, WINDOW_BYTES // 2, WINDOW_BYTES):
            with self.subTest(step_bytes=step_bytes):
                self.run_async(lambda step_bytes=step_bytes: self._check_steps(step_bytes))

    async def _check_steps(self, step_bytes: int) -> None:
        expected = self.expected_body(LARGE_BYTES)
        call = await self.start(f"/?size={LARGE_BYTES}")
        received, number = 0, 0
        while received < LARGE_BYTES:
            part = await self.read_body(call, min(step_bytes, LARGE_BYTES - received))
            self.assertEqual(part, expected[received : received + len(part)])
            received += len(part)
            number += 1
            call = await self.open()
            self.assertTrue(await self.resume(call, number, received))
        self.assertEqual(len(self.server.state.runs), 1)

    def test_only_what_is_kept_is_continued(self) -> None:
        """Guards against an answer to a question that the owner cannot answer with true bytes."""

        async def main() -> None:
            first = await self.start()
            await self.read_body(first, WINDOW_BYTES)
            second = await self.open()
            self.assertFalse(await self.resume(second, 1, SIZE_BYTES + 1))
            self.assertFalse(await self.resume(second, 1, 0, attempt_id="r/2"))
            self.assertFalse(await self.resume(first, 1, WINDOW_BYTES), "on the same stream")
            self.assertTrue(await self.resume(second, 1, WINDOW_BYTES))
            third = await self.open()
            self.assertFalse(await self.resume(third, 2, 1000), "acknowledged before")
            self.assertFalse(await self.resume(third, 1, WINDOW_BYTES), "overtaken")
            await self.read_body(second, WINDOW_BYTES)

        self.run_async(main)

    def test_fence_after_a_resumption(self) -> None:
        """Guards against a fence that arrives late and sends the response to a lost stream."""

        async def main() -> None:
            first = await self.start()
            await self.read_body(first, WINDOW_BYTES)
            second = await self.open()
            self.assertTrue(await self.resume(second, 1, 10))
            third = await self.open()
            fence = pb.Fence(attempt_id="r/1", fence_id="peer/1/1")
            await third.write(pb.ForwardFrame(fence=fence))
            while (frame := await third.read()).WhichOneof("body") != "fence_reply":
                self.assertNotEqual(frame.WhichOneof("body"), "response_head")
            self.assertEqual(len(await self.read_body(second, WINDOW_BYTES)), WINDOW_BYTES)

        self.run_async(main)

    def test_malformed_questions(self) -> None:
        """Guards against a question that makes an owner exceed the window of an attempt."""

        async def main() -> None:
            await self.start()
            for question in (
                pb.Resume(attempt_id="", number=1),
                pb.Resume(attempt_id="x" * 300, number=1),
                pb.Resume(attempt_id="r/1", number=1, window_bytes=WINDOW_BYTES + 1),
            ):
                call = await self.open()
                await call.write(pb.ForwardFrame(resume=question))
                with self.assertRaises(grpc.aio.AioRpcError) as caught:
                    while await call.read() is not EOF:
                        pass
                self.assertIs(caught.exception.code(), grpc.StatusCode.INVALID_ARGUMENT)

        self.run_async(main)

    def test_ended_responses_are_dropped_in_time(self) -> None:
        """Guards against memory that responses hold for good after their end."""

        async def main() -> None:
            self.addCleanup(setattr, _owner, "MAX_KEPT_RESPONSES", _owner.MAX_KEPT_RESPONSES)
            _owner.MAX_KEPT_RESPONSES = 1
            call = await self.start("/?size=40000")
            await self.read_body(call, 40_000)
            owner_side = self.owner.path.owner
            self.assertEqual((owner_side.kept_bytes, len(owner_side)), (40_000, 0))
            head = pb.RequestHead(
                attempt_id="s/1",
                request_id="s",
                service="orders",
                request_class="c",
                remaining_ms=10_000.0,
                method="GET",
                path="/?size=300",
                last=True,
            )
            await call.write(pb.ForwardFrame(request_head=head))
            await self.read_body(call, 300)
            self.assertEqual((owner_side.kept_bytes, len(owner_side)), (300, 0))
            self.assertFalse(await self.resume(await self.open(), 1, 40_000))

        self.run_async(main)


class HandOwner(pb_grpc.NodeServicer):
    """An owner that begins a response, breaks the stream, and then does what the test says.

    :param resumed: called with the second stream and the question that came over it.
    """

    def __init__(self, resumed: Callable[[Any, pb.Resume], Any]) -> None:
        self.kinds: list[str] = []
        self._resumed = resumed
        self._streams = 0

    async def Forward(self, request_iterator: Any, context: Any) -> None:
        """Serve a stream."""
        self._streams += 1
        await context.write(OWNER_HELLO)
        while (frame := await context.read()) is not EOF:
            kind = frame.WhichOneof("body")
            if self._streams > 1:
                self.kinds.append(kind)
            if kind == "request_head":
                head = pb.ResponseHead(
                    attempt_id=frame.request_head.attempt_id,
                    status=200,
                    headers=[pb.Header(name="Content-Length", value=str(SIZE_BYTES))],
                    body=BODY[:1000],
                )
                await context.write(pb.ForwardFrame(response_head=head))
                return
            if kind == "resume":
                await self._resumed(context, frame.resume)


class IngressTest(PathTest):
    """An ingress, and an owner by hand."""

    async def start(self, resumed: Callable[[Any, pb.Resume], Any]) -> None:
        """Start both and send a request."""
        self.hand = HandOwner(resumed)
        server = grpc.aio.server()
        pb_grpc.add_NodeServicer_to_server(self.hand, server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.closers.append(lambda: server.stop(None))
        self.ingress = await self.start_node("ingress")
        self.ingress.owner = ("owner", f"127.0.0.1:{port}")
        self.caller = Caller(self.ingress)
        await self.caller.ask()
        self.closers.append(self.caller.leave)
        await self.caller.read_head()

    async def assert_broken(self) -> None:
        """Check that the caller got the first bytes, no others, and no orderly end."""
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self.caller.read(SIZE_BYTES)
        finished = await self.ingress.wait_for(events.ResponseFinished)
        self.assertEqual((finished.complete, finished.size_bytes), (False, 1000))

    def test_owner_of_an_older_version(self) -> None:
        """Guards against an older owner that is asked something it answers from the start."""

        async def main() -> None:
            async def ignore(context: Any, question: pb.Resume) -> None:
                pass

            await self.start(ignore)
            await self.assert_broken()
            self.assertLessEqual(set(self.hand.kinds), {"hello", "resume", "ping", "cancel"})
            self.assertLessEqual(self.hand.kinds.count("cancel"), 1)
            asked = [kind for kind in self.hand.kinds if kind in ("resume", "cancel")]
            self.assertEqual(asked, sorted(asked, reverse=True))

        self.run_async(main)

    def test_owner_hears_that_a_response_was_given_up(self) -> None:
        """Guards against an owner that keeps the rest of a response for an ingress without it."""

        async def main() -> None:
            async def ignore(context: Any, question: pb.Resume) -> None:
                pass

            await self.start(ignore)
            await self.assert_broken()
            while "cancel" not in self.hand.kinds:
                await asyncio.sleep(0.01)

        self.run_async(main)

    def test_owner_that_holds_it_no_longer(self) -> None:
        """Guards against a caller that waits for the rest of a response that nobody has."""

        async def main() -> None:
            async def refuse(context: Any, question: pb.Resume) -> None:
                self.assertEqual(question.received_bytes, 1000)
                self.assertEqual(question.window_bytes, WINDOW_BYTES - 1000)
                reply = pb.ResumeReply(attempt_id=question.attempt_id, number=question.number)
                await context.write(pb.ForwardFrame(resume_reply=reply))

            await self.start(refuse)
            await self.assert_broken()

        self.run_async(main)

    def test_bytes_before_the_reply(self) -> None:
        """Guards against bytes that are taken for the rest without the owner having said so."""

        async def main() -> None:
            async def send_bytes(context: Any, question: pb.Resume) -> None:
                chunk = pb.BodyChunk(
                    attempt_id=question.attempt_id, data=BODY[1000:SIZE_BYTES][:16_384], last=True
                )
                await context.write(pb.ForwardFrame(body_chunk=chunk))

            await self.start(send_bytes)
            await self.assert_broken()

        self.run_async(main)

    def test_reply_to_an_earlier_question(self) -> None:
        """Guards against a late reply that is taken for the one to the last question."""

        async def main() -> None:
            async def answer(context: Any, question: pb.Resume) -> None:
                number = question.number
                for reply in (
                    pb.ResumeReply(attempt_id=question.attempt_id, number=number - 1),
                    pb.ResumeReply(attempt_id="other", number=number),
                    pb.ResumeReply(attempt_id=question.attempt_id, number=number, resumed=True),
                ):
                    await context.write(pb.ForwardFrame(resume_reply=reply))
                for start in range(1000, SIZE_BYTES, 16_000):
                    end = min(start + 16_000, SIZE_BYTES)
                    chunk = pb.BodyChunk(
                        attempt_id=question.attempt_id, data=BODY[start:end], last=end == SIZE_BYTES
                    )
                    await context.write(pb.ForwardFrame(body_chunk=chunk))
                    await asyncio.sleep(0.01)

            await self.start(answer)
            await self.caller.read(SIZE_BYTES)
            self.assertEqual(self.caller.body, BODY[:SIZE_BYTES])
            finished = await self.ingress.wait_for(events.ResponseFinished)
            self.assertTrue(finished.complete)

        self.run_async(main)
