"""Tests of the order in which frames leave a stream."""

from __future__ import annotations

import unittest

from bamboonotch_core.errors import MessageError
from bamboonotch_node.forwarding import _outbox
from bamboonotch_node.forwarding._outbox import CHUNK_BYTES, WINDOW_BYTES, Outbox, OutgoingBody
from bamboonotch_node.forwarding._uplink import Uplink
from bamboonotch_wire import bamboonotch_pb2 as pb


class Source:
    """Counts how often it is held up and let go."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def pause(self) -> None:
        """Note a pause."""
        self.calls.append("pause")

    def resume(self) -> None:
        """Note a resumption."""
        self.calls.append("resume")


class OutboxTest(unittest.TestCase):
    """Messages that compete for one stream."""

    def setUp(self) -> None:
        """Open an outbox."""
        self.outbox = Outbox(Uplink())
        self.outbox.open()

    def make(self, name: str) -> OutgoingBody:
        """Return a message without a body so far."""

        def build_head(data: bytes, last: bool) -> pb.ForwardFrame:
            head = pb.ResponseHead(attempt_id=name, body=data, last=last)
            return pb.ForwardFrame(response_head=head)

        return OutgoingBody(name, self.outbox, build_head)

    def add(self, name: str, size_bytes: int) -> OutgoingBody:
        """Queue a message with a whole body."""
        body = self.make(name)
        body.write(name.encode() * size_bytes)
        body.finish(True)
        return body

    def drain(self) -> list[str]:
        """Take all frames and return the attempts that they belong to."""
        names = []
        while (frame := self.outbox.next_frame()) is not None:
            part = getattr(frame, frame.WhichOneof("body"))
            names.append(getattr(part, "attempt_id", "control"))
        return names

    def test_chunks_take_turns(self) -> None:
        """Guards against one body that keeps the others waiting."""
        self.add("a", WINDOW_BYTES)
        self.add("b", WINDOW_BYTES)
        first = [self.outbox.next_frame() for _ in range(3)]
        self.assertIsNotNone(first[-1])
        self.add("c", 10)
        self.outbox.push(pb.ForwardFrame(ping=pb.Ping()))
        self.assertEqual(self.drain(), ["control", "c", "b", "a", "b", "a", "b"])

    def test_credit_holds_a_body_alone(self) -> None:
        """Guards against more bytes than the receiver allowed, or a stall of other bodies."""
        body = self.add("a", WINDOW_BYTES + CHUNK_BYTES)
        self.assertEqual(self.drain(), ["a"] * 4)
        self.add("b", 1)
        self.assertEqual(self.drain(), ["b"])
        body.add_credit(CHUNK_BYTES)
        self.assertEqual(self.drain(), ["a"])
        with self.assertRaises(MessageError):
            body.add_credit(WINDOW_BYTES + 1)

    def test_source_is_held_up(self) -> None:
        """Guards against a body that piles up because its source goes on."""
        body = self.make("a")
        source = body.source = Source()
        for _ in range(6):
            body.write(b"x" * CHUNK_BYTES)
        self.assertEqual(source.calls, ["pause"])
        self.drain()
        self.assertEqual(source.calls, ["pause", "resume"])

    def test_aborted_body(self) -> None:
        """Guards against an aborted body whose last chunk looks complete."""
        body = self.make("a")
        body.write(b"x" * 3 * CHUNK_BYTES)
        self.outbox.next_frame()
        body.finish(False)
        frame = self.outbox.next_frame()
        self.assertTrue(frame.body_chunk.last and frame.body_chunk.aborted)
        self.assertIsNone(self.outbox.next_frame())

    def test_peer_that_does_not_read(self) -> None:
        """Guards against control frames that fill the memory."""
        self.addCleanup(setattr, _outbox, "MAX_CONTROL_FRAMES", _outbox.MAX_CONTROL_FRAMES)
        _outbox.MAX_CONTROL_FRAMES = 5
        for _ in range(5):
            self.outbox.push(pb.ForwardFrame(pong=pb.Pong()))
        with self.assertRaises(MessageError):
            self.outbox.push(pb.ForwardFrame(pong=pb.Pong()))

    def test_nothing_leaves_before_the_peer_names_itself(self) -> None:
        """Guards against work for a process whose incarnation is not known (P5)."""
        self.outbox = Outbox(Uplink())
        body = self.add("a", 1)
        self.assertIsNone(self.outbox.next_frame())
        self.assertFalse(body.head_sent)
        self.outbox.open()
        self.assertEqual(self.drain(), ["a"])
