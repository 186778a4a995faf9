"""A region that starts at once, behind a narrow link to the store.

Pattern: every node of a region is started at the same moment, as after a loss of power, and the
link to the store carries about one whole document a second. Reads share the link equally. No
network is used; the nodes are driven over simulated time.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents import (
    WATCH_DOCUMENT,
    DocumentState,
    make_document_state,
    reduce_documents,
)
from bamboonotch_core.effects import RegisterAgain, SendMessage, WatchDocument
from bamboonotch_core.events import (
    DocumentRead,
    DocumentUnchanged,
    Event,
    LinkOpened,
    MessageReceived,
    PeerIdentity,
    StoreOperation,
    StoreReadFailed,
    Tick,
)
from bamboonotch_core.messages import Heartbeat, VersionAnnounce
from tests.documents.test_reducer import make_document
from tests.routing.builders import make_settings

STEP_MS = 20.0
MESSAGE_MS = 20.0
HEARTBEAT_MS = 500.0
# When a node has found its peers after its start.
LINKED_MS = 1000.0
VERSION = 5
LINK_DISTANCES = (1, 4, 16, 64)


@dataclass
class _Node:
    """One node of the region.

    :param state: its state.
    :param view: its view of the membership.
    :param transfer: share of the document that a whole read still has to carry, or ``None``.
    """

    state: DocumentState
    view: MembershipView = field(default_factory=lambda: MembershipView(is_store_reader=True))
    transfer: float | None = None
    watch_end_ms: float | None = None


class _Region:
    """Nodes, their overlay and the link to the store.

    :param size: number of nodes.
    :param documents_per_s: whole documents that the link carries in a second.
    """

    def __init__(self, size: int, documents_per_s: float) -> None:
        self.now_ms = 0.0
        self.whole_reads = 0
        self.calls = 0
        self.version = VERSION
        self.revision = 100
        self.epoch = 1
        self.registered_ms: dict[int, float] = {}
        self.messages = 0
        self.silent_readers = False
        self._documents_per_s = documents_per_s
        self._messages: list[tuple[float, int, Event]] = []
        self.nodes = [
            _Node(make_document_state(make_settings(node_id=f"n{number:03}")))
            for number in range(size)
        ]

    def run_until(self, end_ms: float) -> None:
        """Let time pass."""
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if self.now_ms - STEP_MS < LINKED_MS <= self.now_ms:
                self._link_all()
            self._carry_transfers()
            self._deliver()
            for number, node in enumerate(self.nodes):
                ended = node.watch_end_ms is not None and self.now_ms >= node.watch_end_ms
                if ended and not self._is_silenced(number):
                    node.watch_end_ms = None
                    self._reduce(number, DocumentUnchanged(self.now_ms, self.revision, self.epoch))
                if self.now_ms % 100.0 < STEP_MS:
                    self._reduce(number, Tick(self.now_ms))
                if self.now_ms % HEARTBEAT_MS < STEP_MS:
                    self._send_heartbeats(number)

    def write(self) -> None:
        """Write a newer version, which answers every waiting watch that still works."""
        self.version += 1
        self.revision += 10
        for number, node in enumerate(self.nodes):
            if node.watch_end_ms is not None and not self._is_silenced(number):
                node.watch_end_ms = None
                node.transfer = 1.0

    def restore(self) -> None:
        """Let the store come back from a copy, which cuts every watch."""
        self.epoch += 1
        self.revision -= 5
        for number, node in enumerate(self.nodes):
            if node.watch_end_ms is not None:
                node.watch_end_ms = None
                operation = StoreOperation(WATCH_DOCUMENT)
                self._reduce(number, StoreReadFailed(self.now_ms, operation, "reset"))

    def held(self) -> list[int]:
        """Return the versions that the nodes hold."""
        return [node.state.held_version for node in self.nodes]

    def _is_silenced(self, number: int) -> bool:
        return self.silent_readers and self.nodes[number].view.is_store_reader

    def _link_all(self) -> None:
        size = len(self.nodes)
        for number, node in enumerate(self.nodes):
            peers = {
                (number + sign * distance) % size
                for distance in LINK_DISTANCES
                if distance < size
                for sign in (1, -1)
            } - {number}
            links = tuple(
                Neighbour(f"to-{peer}", f"n{peer:03}", 1, "bagmati", "kathmandu-1")
                for peer in sorted(peers)
            )
            node.view = MembershipView(neighbours=links, is_store_reader=number < 2)
            for link in links:
                peer = PeerIdentity(link.node_id, 1, "bagmati", "kathmandu-1", "")
                self._reduce(number, LinkOpened(self.now_ms, link.link_id, peer, True))

    def _send_heartbeats(self, number: int) -> None:
        node = self.nodes[number]
        confirmation = node.state.confirmation
        confirmed_ms = confirmation.confirmed_ms
        age_ms = None if confirmed_ms is None else round(self.now_ms - confirmed_ms)
        version = node.state.held_version
        heartbeat = Heartbeat(
            version, version, 0, True, confirmation.revision, age_ms, node.state.store_epoch
        )
        for link in node.view.neighbours:
            self._send(number, SendMessage(link.link_id, heartbeat))

    def _send(self, number: int, effect: SendMessage) -> None:
        target = int(effect.link_id.removeprefix("to-"))
        due_ms = self.now_ms + MESSAGE_MS
        event = MessageReceived(due_ms, f"to-{number}", effect.message)
        self._messages.append((due_ms, target, event))
        self.messages += isinstance(effect.message, VersionAnnounce)

    def _deliver(self) -> None:
        due = [item for item in self._messages if item[0] <= self.now_ms]
        self._messages = [item for item in self._messages if item[0] > self.now_ms]
        for _, target, event in due:
            self._reduce(target, event)

    def _carry_transfers(self) -> None:
        active = [node for node in self.nodes if node.transfer is not None]
        for number, node in enumerate(self.nodes):
            if node.transfer is None:
                continue
            node.transfer -= self._documents_per_s * STEP_MS / 1000.0 / len(active)
            if node.transfer <= 0.0:
                node.transfer = None
                document = make_document(self.version)
                read = DocumentRead(self.now_ms, self.version, document, self.revision, self.epoch)
                self._reduce(number, read)

    def _reduce(self, number: int, event: Event) -> None:
        node = self.nodes[number]
        transition = reduce_documents(node.state, event, node.view)
        node.state = transition.state
        for effect in transition.effects:
            if isinstance(effect, SendMessage):
                self._send(number, effect)
            elif isinstance(effect, RegisterAgain):
                self.registered_ms[number] = self.now_ms
            elif isinstance(effect, WatchDocument):
                self.calls += 1
                self._start_read(number, effect)

    def _start_read(self, number: int, effect: WatchDocument) -> None:
        node = self.nodes[number]
        if effect.revision == self.revision or self._is_silenced(number):
            node.watch_end_ms = self.now_ms + effect.wait_ms
            return
        self.whole_reads += 1
        node.transfer = 1.0


class RegionStartTest(unittest.TestCase):
    """A region that starts, and one whose readers fall silent."""

    def test_first_version_over_a_narrow_link(self) -> None:
        """Guards against a congested link: each node asked for the whole document at its start."""
        for size in (7, 32, 98):
            with self.subTest(size=size):
                region = _Region(size, documents_per_s=1.0)
                region.run_until(12_000.0)
                self.assertEqual(set(region.held()), {VERSION})
                self.assertLessEqual(region.whole_reads, max(7, size * 2 // 3))

    def test_few_calls_at_rest(self) -> None:
        """Guards against calls of the store that grow with the fleet."""
        calls = []
        for size in (7, 32, 98):
            region = _Region(size, documents_per_s=100.0)
            region.run_until(10_000.0)
            before = region.calls
            region.run_until(30_000.0)
            calls.append(region.calls - before)
        self.assertEqual(max(calls), min(calls))

    def test_a_version_reaches_every_node_in_time(self) -> None:
        """Guards against a version that takes longer than 2 s through a region of 98 nodes."""
        region = _Region(98, documents_per_s=100.0)
        region.run_until(10_000.0)
        reads = region.whole_reads
        region.write()
        region.run_until(12_000.0)
        self.assertEqual(set(region.held()), {VERSION + 1})
        self.assertEqual(region.whole_reads, reads)

    def test_restored_store(self) -> None:
        """Guards against a fleet that reads the store at once when it comes back from a copy."""
        region = _Region(98, documents_per_s=100.0)
        region.run_until(10_000.0)
        reads = region.whole_reads
        region.restore()
        region.run_until(14_000.0)
        self.assertEqual({node.state.store_epoch for node in region.nodes}, {2})
        self.assertLessEqual(region.whole_reads - reads, 4)
        region.write()
        region.run_until(16_000.0)
        self.assertEqual(set(region.held()), {VERSION + 1})

    def test_every_node_registers_soon_after_a_restore(self) -> None:
        """Guards against an entry that is back late because its node is far from the readers.

        The entry is due 2 s after the return of the store, and the write may wait for 1 s of them.
        """
        region = _Region(98, documents_per_s=100.0)
        region.run_until(10_200.0)
        region.messages = 0
        region.registered_ms.clear()
        region.restore()
        region.run_until(15_000.0)
        self.assertEqual(len(region.registered_ms), 98)
        self.assertLessEqual(max(region.registered_ms.values()), 10_200.0 + 1000.0)
        self.assertLessEqual(region.messages, sum(len(n.view.neighbours) for n in region.nodes))

    def test_readers_that_fall_silent_are_replaced(self) -> None:
        """Guards against nodes that wait for readers whose connections went silent."""
        region = _Region(98, documents_per_s=100.0)
        region.run_until(10_000.0)
        region.silent_readers = True
        region.write()
        region.run_until(18_000.0)
        others = region.held()[2:]
        self.assertEqual(set(others), {VERSION + 1})


if __name__ == "__main__":
    unittest.main()
