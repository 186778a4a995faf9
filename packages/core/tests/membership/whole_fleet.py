"""A simulated fleet of whole reducers, and the store that its nodes read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from bamboonotch_core import documents, effects, events
from bamboonotch_core.documents import WATCH_DOCUMENT, DocumentState, make_document_state
from bamboonotch_core.membership import MembershipState, is_store_reader
from bamboonotch_core.reducer import reduce
from bamboonotch_core.settings import AccessSettings, NodeSettings
from bamboonotch_core.state import NodeState, make_node_state
from tests.documents.test_reducer import make_document
from tests.membership.fleet import TICK_MS, Fleet

STORE_MS = 4.0
# Added to the wait of a watch.
TIMEOUT_MS = 700.0
VERSION = 5


@dataclass
class _Watch:
    """A read of the store in progress.

    :param started_ms: when it began.
    :param effect: what was asked.
    """

    started_ms: float
    effect: effects.WatchDocument


@dataclass
class _Answer:
    """What the store answered.

    :param watch: the read.
    :param revision: revision of the store at that moment.
    :param version: version of the document; 0 when the wait ended without a change.
    """

    watch: _Watch
    revision: int
    version: int


class WholeFleet(Fleet):
    """A fleet whose nodes run the whole reducer and read a store of documents.

    :param revocation_ms: setting ``revocation_ms`` of every node, in milliseconds.
    """

    def __init__(
        self, places: dict[str, tuple[str, str]], revocation_ms: int = 0, seed: int = 1
    ) -> None:
        super().__init__(places, seed)
        self.revocation_ms = revocation_ms
        self.version = VERSION
        self.revision = 100
        self.calls: list[tuple[float, str]] = []
        self.heartbeats = 0
        self.cut_from_store: set[str] = set()
        self.answer_delay_ms: dict[str, float] = {}
        self.written_ms = {VERSION: 0.0}
        self.invalid: set[int] = set()
        self.on_step: Callable[[str, DocumentState], None] | None = None
        self._nodes: dict[str, NodeState] = {}
        self._watches: dict[str, _Watch] = {}

    def make_settings(self, node_id: str) -> NodeSettings:
        """Return the settings that a node starts with."""
        settings = super().make_settings(node_id)
        store = replace(settings.store, watch_ms=2000)
        access = AccessSettings(revocation_ms=self.revocation_ms)
        return replace(settings, store=store, access=access)

    def documents(self, node_id: str) -> DocumentState:
        """Return the state of the documents of a node."""
        state = self._nodes[node_id].distribution
        if not isinstance(state, DocumentState):
            raise TypeError("the node follows no documents")
        return state

    def age_ms(self, node_id: str) -> float:
        """Return how old a node's confirmation is, in milliseconds."""
        confirmed_ms = self.documents(node_id).confirmation.confirmed_ms
        return float("inf") if confirmed_ms is None else self.now_ms - confirmed_ms

    def readers(self) -> list[str]:
        """Return the nodes that keep a watch on the store."""
        return [node_id for node_id in self.alive() if is_store_reader(self.state(node_id))]

    def write(self, valid: bool = True) -> None:
        """Write a newer version, which ends every watch; nodes refuse one that is not valid."""
        self.version += 1
        if not valid:
            self.invalid.add(self.version)
        self.revision += 1
        self.written_ms[self.version] = self.now_ms
        for node_id in list(self._watches):
            self._post(STORE_MS / 2, node_id, _StoreAnswers, self._watches[node_id])

    def start(self, node_id: str) -> None:
        """Start a node's process."""
        super().start(node_id)
        settings = self.make_settings(node_id)
        self._nodes[node_id] = make_node_state(
            settings, 1000, self.random.getrandbits(64), self.now_ms, make_document_state(settings)
        )
        self._watches.pop(node_id, None)
        self._take_over(node_id)

    def _take_over(self, node_id: str) -> MembershipState:
        membership = self._nodes[node_id].membership
        self.processes[node_id].state = membership
        return membership

    def _handle_event(
        self,
        node_id: str,
        generation: int,
        event_type: type[events.Event],
        fields: tuple[object, ...],
    ) -> None:
        process = self.processes[node_id]
        if not process.alive or process.generation != generation:
            return
        if event_type is _StoreAnswers:
            self._answer(node_id, fields[0])  # type: ignore[arg-type]
            return
        if event_type is _CallTimesOut:
            self._time_out(node_id, fields[0])  # type: ignore[arg-type]
            return
        if process.paused:
            process.backlog.append((event_type, fields))
            return
        if event_type is _AnswerArrives:
            event = self._take_answer(*fields)  # type: ignore[arg-type]
        else:
            event = event_type(self.now_ms, *fields)  # type: ignore[call-arg]
        transition = reduce(self._nodes[node_id], event)
        self._nodes[node_id] = transition.state
        self._take_over(node_id)
        if event_type is events.Tick:
            self._post(TICK_MS, node_id, events.Tick)
        for effect in transition.effects:
            self._apply_effect(node_id, effect)
        if self.on_step is not None:
            self.on_step(node_id, self.documents(node_id))

    def _apply_effect(self, node_id: str, effect: effects.Effect) -> None:
        if isinstance(effect, effects.WatchDocument):
            self._read(node_id, effect)
            return
        if isinstance(effect, effects.SendMessage):
            self.heartbeats += type(effect.message).__name__ == "Heartbeat"
        super()._apply_effect(node_id, effect)

    def _compete_for_slot(self, node_id: str) -> None:
        self._slots[node_id, 0] = node_id

    def _read(self, node_id: str, effect: effects.WatchDocument) -> None:
        self.calls.append((self.now_ms, node_id))
        if node_id in self.cut_from_store or not self.store_up:
            operation = events.StoreOperation(WATCH_DOCUMENT)
            self._post(1000.0, node_id, events.StoreReadFailed, operation, "cut")
            return
        watch = _Watch(self.now_ms, effect)
        self._watches[node_id] = watch
        waits = effect.revision >= self.revision
        self._post(STORE_MS / 2 + (effect.wait_ms if waits else 0.0), node_id, _StoreAnswers, watch)
        self._post(effect.wait_ms + TIMEOUT_MS, node_id, _CallTimesOut, watch)

    def _time_out(self, node_id: str, watch: _Watch) -> None:
        """End a read that the store has not answered, as the client does."""
        if self._watches.get(node_id) is not watch:
            return
        del self._watches[node_id]
        operation = events.StoreOperation(WATCH_DOCUMENT)
        self._post(0.0, node_id, events.StoreReadFailed, operation, "no answer")

    def _answer(self, node_id: str, watch: _Watch) -> None:
        """Let the store answer a read, which reaches the node a little later."""
        if self._watches.get(node_id) is not watch or node_id in self.cut_from_store:
            return
        del self._watches[node_id]
        changed = watch.effect.revision < self.revision
        answer = _Answer(watch, self.revision, self.version if changed else 0)
        self._post(self.answer_delay_ms.get(node_id, STORE_MS / 2), node_id, _AnswerArrives, answer)

    def _take_answer(self, answer: _Answer) -> events.Event:
        """Return the event of an answer that a process takes now, as the document driver does."""
        watch, now_ms = answer.watch, self.now_ms
        age_ms = documents.answer_age_ms(
            watch.started_ms, now_ms, watch.effect.wait_ms, not answer.version
        )
        if not answer.version:
            return events.DocumentUnchanged(now_ms, answer.revision, 1, age_ms)
        document = make_document(answer.version)
        if answer.version in self.invalid:
            del document["services"]
        return events.DocumentRead(now_ms, answer.version, document, answer.revision, 1, age_ms)


class _StoreAnswers(events.Event):
    """The moment at which the store answers a read, which the fleet handles itself."""


class _CallTimesOut(events.Event):
    """The moment at which the client gives up a read, which the fleet handles itself."""


class _AnswerArrives(events.Event):
    """The arrival of an answer of the store, which becomes an event when the process takes it."""
