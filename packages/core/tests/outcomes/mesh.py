"""Simulation of an ingress and several owners on a network that a test makes unreliable.

The test chooses which messages are delivered, duplicated, reordered or lost, and which processes
restart. After each step the simulation checks the guarantees on requests, some of which have the
numbers P4 to P7, and raises ``AssertionError`` on a violation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bamboonotch_core.admission import (
    AdmissionState,
    hard_slots,
    is_draining,
    make_admission_state,
    reduce_admission,
)
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import (
    BackendServerAnnounced,
    DrainRequested,
    Event,
    Tick,
    UndrainRequested,
)
from bamboonotch_core.outcomes import (
    Outcome,
    make_outcome_state,
    parse_attempt_id,
    reduce_outcomes,
    supersedes_attempt,
)
from bamboonotch_core.request_effects import (
    AnswerFence,
    CancelAttempt,
    ClaimKey,
    DispatchToBackend,
    ForwardAttempt,
    PassResponse,
    RefuseWork,
    RespondToCaller,
    SendFence,
)
from bamboonotch_core.request_events import (
    AttemptLost,
    BackendFinished,
    BackendResult,
    CallerGone,
    ClaimAnswered,
    ClaimResult,
    FenceAnswered,
    FenceReceived,
    FenceState,
    OwnerRefused,
    OwnerResponded,
    RequestArrived,
    ResponseFinished,
    WorkCancelled,
    WorkOffered,
)
from bamboonotch_core.settings import AdmissionSettings, RequestSettings
from tests.routing.builders import (
    make_configuration,
    make_record,
    make_route,
    make_settings,
    make_table,
)

UNIX_MS = 1_700_000_000_000
SLOTS = 2
CLASSES = {
    "order": {"priority": 0, "queue_limit": 2, "queue_timeout_ms": 500},
    "read": {"priority": 1, "queue_limit": 3, "queue_timeout_ms": 500},
}
SERVICES = {"orders": {"tenant": "t", "slots_per_backend_server": SLOTS, "ramp_ms": 0}}


ROUTES = {
    "order": make_route("/order", "POST", "orders", "order", False),
    "read": make_route("/read", "POST", "orders", "read", True),
}
PATHS = ("/order", "/order", "/read")


def make_key(number: int) -> str:
    """Return an idempotency key that was created at ``UNIX_MS``."""
    stamp = f"{UNIX_MS:012x}"
    return f"{stamp[:8]}-{stamp[8:]}-7000-8000-{number:012x}"


@dataclass(frozen=True)
class Message:
    """A message in transit between the ingress and one incarnation of an owner."""

    owner: int
    incarnation: int
    event: Event
    to_owner: bool


@dataclass
class Dispatch:
    """One dispatch to a backend server.

    :param owner: number of the owner.
    :param running: whether the backend server still works on it.
    :param ran: whether it ran or may have run.
    """

    request_id: str
    attempt_id: str
    owner: int
    running: bool = True
    ran: bool = True


@dataclass
class Mesh:
    """One ingress, several owners, a claim store and the messages in transit.

    The parameter ``choice`` of the methods is a random number. It selects one of the messages,
    dispatches or requests that the step can act on, and the variant of the step.
    """

    owner_count: int = 3
    now_ms: float = 1000.0
    messages: list[Message] = field(default_factory=list)
    dispatches: list[Dispatch] = field(default_factory=list)
    claims: dict[str, str] = field(default_factory=dict)
    pending_claims: list[tuple[int, int, ClaimKey]] = field(default_factory=list)
    answers_by_request: dict[str, list[Effect]] = field(default_factory=dict)
    departed_callers: set[str] = field(default_factory=set)
    idempotent: dict[str, bool] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    open_attempts: dict[str, tuple[int, int, str]] = field(default_factory=dict)
    responding: dict[str, str] = field(default_factory=dict)
    delivered_attempt_ids: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.configuration = make_configuration(ROUTES, SERVICES, CLASSES)
        self.settings = make_settings(
            requests=RequestSettings(max_requests=12, ejection_ms=200, retry_budget_ratio=1.0),
            admission=AdmissionSettings(max_attempts_kept=6, attempt_retention_ms=3000),
        )
        self.ingress = make_outcome_state(self.settings, 1)
        self.incarnations = [1] * self.owner_count
        self.owners: list[AdmissionState] = []
        for _ in range(self.owner_count):
            self.owners.append(make_admission_state(self.settings, self.now_ms, 1))
        self.refresh_table()
        for owner in range(self.owner_count):
            self.announce(owner, "ready")

    def refresh_table(self) -> None:
        """Give the ingress a routing table with the current incarnations of all owners."""
        records = [
            make_record(f"owner-{index}", incarnation=incarnation, slots=SLOTS)
            for index, incarnation in enumerate(self.incarnations)
        ]
        self.table = make_table(*records, configuration=self.configuration)

    def announce(self, owner: int, state: str) -> None:
        """Deliver an announcement of a backend server to its owner."""
        event = BackendServerAnnounced(self.now_ms, "orders", f"{owner}:1", SLOTS, state)
        self.reduce_at_owner(owner, event)

    def send_request(self, choice: int) -> None:
        """Send a request; some have an idempotency key, which another request may have too."""
        request_id = f"request-{len(self.answers_by_request)}"
        path = PATHS[choice % len(PATHS)]
        key = make_key(choice % 5) if choice % 2 and path == "/order" else ""
        self.answers_by_request[request_id] = []
        self.idempotent[request_id] = path == "/read"
        self.keys[request_id] = key
        attempt = 1 if choice % 7 == 0 else 0
        timeout_ms = (None, 150.0, 900.0)[choice % 3]
        self.reduce_at_ingress(
            RequestArrived(self.now_ms, request_id, "POST", path, timeout_ms, key, attempt, UNIX_MS)
        )

    def reduce_at_ingress(self, event: Event) -> None:
        """Reduce an event at the ingress and carry out its effects."""
        step = reduce_outcomes(self.ingress, event, self.table)
        self.ingress = step.state
        for effect in step.effects:
            self._carry_out_at_ingress(effect)
        assert len(self.ingress.requests) <= self.settings.requests.max_requests

    def _carry_out_at_ingress(self, effect: Effect) -> None:
        now_ms = self.now_ms
        if isinstance(effect, ForwardAttempt):
            self._send_attempt(effect)
        elif isinstance(effect, SendFence):
            owner = int(effect.owner_id.rpartition("-")[2])
            event: Event = FenceReceived(now_ms, effect.attempt_id, effect.request_id)
            self.messages.append(Message(owner, self.incarnations[owner], event, True))
        elif isinstance(effect, CancelAttempt):
            opened_attempt = self.open_attempts.pop(effect.attempt_id, None)
            if opened_attempt is not None:
                event = WorkCancelled(now_ms, effect.attempt_id)
                self.messages.append(Message(opened_attempt[0], opened_attempt[1], event, True))
        elif isinstance(effect, PassResponse):
            self._record_answer(effect.request_id, effect)
            parts = parse_attempt_id(effect.attempt_id)
            assert parts is not None
            assert (
                parts.request_id == effect.request_id
            ), f"P4: {effect.request_id} got a response of {parts.request_id}"
            self.responding[effect.request_id] = effect.attempt_id
        elif isinstance(effect, RespondToCaller):
            self._record_answer(effect.request_id, effect)
            if effect.outcome is Outcome.NOT_RUN:
                request_dispatches = [
                    item for item in self.dispatches if item.request_id == effect.request_id
                ]
                assert not any(
                    item.ran for item in request_dispatches
                ), f"P5: {effect} but ran: {request_dispatches}"

    def _send_attempt(self, effect: ForwardAttempt) -> None:
        owner = int(effect.owner_id.rpartition("-")[2])
        incarnation = self.incarnations[owner]
        self.open_attempts[effect.attempt_id] = (owner, incarnation, effect.request_id)
        offer = WorkOffered(
            self.now_ms,
            effect.request_id,
            effect.attempt_id,
            effect.service,
            effect.request_class,
            effect.deadline_ms,
            effect.idempotent,
            effect.idempotency_key,
        )
        self.messages.append(Message(owner, incarnation, offer, True))

    def _record_answer(self, request_id: str, effect: Effect) -> None:
        self.answers_by_request[request_id].append(effect)
        count = len(self.answers_by_request[request_id])
        assert count == 1, f"{request_id} was answered {count} times"
        assert (
            request_id not in self.departed_callers
        ), f"{request_id} was answered after its caller closed the connection"

    def reduce_at_owner(self, owner: int, event: Event) -> None:
        """Reduce an event at an owner and carry out its effects."""
        step = reduce_admission(self.owners[owner], event, self.configuration)
        state = self.owners[owner] = step.state
        for effect in step.effects:
            self._carry_out_at_owner(owner, effect)
        running = sum(1 for item in self.dispatches if item.owner == owner and item.running)
        assert running <= SLOTS, f"owner {owner} runs {running} dispatches in {SLOTS} slots"
        assert state.slots_held <= max(SLOTS, hard_slots(state, self.configuration))
        queued = {name: len(queue.entries) for name, queue in state.queues.items()}
        assert queued.get("order", 0) <= 2 and sum(queued.values()) <= 3
        assert len(state.memory.attempts) <= self.settings.admission.max_attempts_kept

    def _carry_out_at_owner(self, owner: int, effect: Effect) -> None:
        if isinstance(effect, DispatchToBackend):
            self._dispatch(owner, effect.attempt_id)
        elif isinstance(effect, ClaimKey):
            self.pending_claims.append((owner, self.incarnations[owner], effect))
        elif isinstance(effect, RefuseWork):
            reply_fields = (effect.result, effect.reason, effect.load)
            self._reply(owner, OwnerRefused, effect.attempt_id, *reply_fields)
        elif isinstance(effect, AnswerFence):
            self._reply(owner, FenceAnswered, effect.attempt_id, effect.state)

    def _dispatch(self, owner: int, attempt_id: str) -> None:
        parts = parse_attempt_id(attempt_id)
        assert parts is not None
        request_id = parts.request_id
        if not self.idempotent[request_id]:
            earlier_dispatches = [
                item for item in self.dispatches if item.request_id == request_id and item.ran
            ]
            assert (
                not earlier_dispatches
            ), f"P6: {request_id} dispatched again after {earlier_dispatches}"
            key = self.keys[request_id]
            same_key_dispatches = [
                item for item in self.dispatches if key and self.keys[item.request_id] == key
            ]
            assert not any(
                item.ran for item in same_key_dispatches
            ), f"P6: key {key} of {request_id} ran twice"
        draining_without_key = is_draining(self.owners[owner]) and not self.keys[request_id]
        assert not draining_without_key, f"P7: {request_id} dispatched by draining owner {owner}"
        final_answers = [
            item
            for item in self.answers_by_request[request_id]
            if isinstance(item, RespondToCaller)
        ]
        not_run_answers = [item for item in final_answers if item.outcome is Outcome.NOT_RUN]
        assert not not_run_answers, f"P5: {request_id} dispatched after {not_run_answers}"
        assert all(
            item.attempt_id != attempt_id for item in self.dispatches
        ), f"attempt {attempt_id} dispatched twice"
        self.dispatches.append(Dispatch(request_id, attempt_id, owner))

    def _reply(
        self, owner: int, kind: Callable[..., Event], attempt_id: str, *reply_fields: object
    ) -> None:
        parts = parse_attempt_id(attempt_id)
        assert parts is not None
        event = kind(self.now_ms, parts.request_id, attempt_id, f"owner-{owner}", *reply_fields)
        self.messages.append(Message(owner, self.incarnations[owner], event, False))

    def deliver(self, choice: int, duplicate: bool = False) -> None:
        """Deliver one message in transit, and keep it in transit when it is duplicated."""
        if not self.messages:
            return
        index = choice % len(self.messages)
        message = self.messages[index] if duplicate else self.messages.pop(index)
        self._deliver_message(message)

    def _deliver_message(self, message: Message) -> None:
        event = message.event
        current_event = type(event)(**{**vars(event), "now_ms": self.now_ms})
        if not message.to_owner:
            if isinstance(event, OwnerRefused):
                self.open_attempts.pop(event.attempt_id, None)
            self.reduce_at_ingress(current_event)
        elif self.incarnations[message.owner] == message.incarnation:
            if isinstance(event, WorkOffered):
                self.delivered_attempt_ids.add(event.attempt_id)
            self.reduce_at_owner(message.owner, current_event)
        elif isinstance(event, FenceReceived):
            self._fail_fence(message.owner, event)
        else:
            self._lose_attempts(message.owner)

    def _fail_fence(self, owner: int, event: FenceReceived) -> None:
        failed = FenceAnswered(
            self.now_ms, event.fence_id, event.attempt_id, f"owner-{owner}", FenceState.UNKNOWN
        )
        self.reduce_at_ingress(failed)

    def lose_message(self, choice: int) -> None:
        """Lose one message in transit, and close its stream unless it belongs to a fence."""
        if not self.messages:
            return
        message = self.messages.pop(choice % len(self.messages))
        if isinstance(message.event, FenceReceived | FenceAnswered):
            return
        self.close_stream(message.owner, choice)

    def close_stream(self, owner: int, choice: int) -> None:
        """Close the stream to an owner; its messages in transit are lost or arrive late."""
        owner %= self.owner_count
        if choice % 3 == 0:
            self.messages = [item for item in self.messages if item.owner != owner]
        if choice % 2:
            for attempt_id, (holder, incarnation, _) in self.open_attempts.items():
                if holder == owner:
                    cancel = WorkCancelled(self.now_ms, attempt_id)
                    self.messages.append(Message(owner, incarnation, cancel, True))
        self._lose_attempts(owner)

    def _lose_attempts(self, owner: int) -> None:
        lost_attempts = [item for item in self.open_attempts.items() if item[1][0] == owner]
        for attempt_id, (_, _, request_id) in lost_attempts:
            del self.open_attempts[attempt_id]
            self.reduce_at_ingress(
                AttemptLost(self.now_ms, request_id, attempt_id, f"owner-{owner}", True)
            )

    def fail_to_connect(self, choice: int) -> None:
        """Fail the connection for an attempt of which nothing was sent."""
        offers = [item for item in self.messages if isinstance(item.event, WorkOffered)]
        if not offers:
            return
        message = offers[choice % len(offers)]
        offer = message.event
        assert isinstance(offer, WorkOffered)
        if (
            offer.attempt_id in self.delivered_attempt_ids
            or offer.attempt_id not in self.open_attempts
        ):
            return
        self.messages.remove(message)
        del self.open_attempts[offer.attempt_id]
        owner_id = f"owner-{message.owner}"
        event = AttemptLost(self.now_ms, offer.request_id, offer.attempt_id, owner_id, False)
        self.reduce_at_ingress(event)

    def restart(self, owner: int, table_follows: bool) -> None:
        """Replace the process of an owner; its dispatches until then still count as run."""
        owner %= self.owner_count
        self.incarnations[owner] += 1
        self.owners[owner] = make_admission_state(
            self.settings, self.now_ms, self.incarnations[owner]
        )
        self.pending_claims = [item for item in self.pending_claims if item[0] != owner]
        for item in self.dispatches:
            item.running = item.running and item.owner != owner
        self.announce(owner, "ready")
        if table_follows:
            self.refresh_table()

    def end_dispatch(self, choice: int) -> None:
        """End one running dispatch at its backend server."""
        running = [item for item in self.dispatches if item.running]
        if not running:
            return
        dispatch = running[choice % len(running)]
        dispatch.running = False
        result = (BackendResult.DONE, BackendResult.DONE, BackendResult.NOT_RUN)[choice % 3]
        if choice % 11 == 0:
            result = BackendResult.UNKNOWN
        dispatch.ran = result is not BackendResult.NOT_RUN
        if result is BackendResult.DONE:
            self._reply(dispatch.owner, OwnerResponded, dispatch.attempt_id, 200, 1)
        finished = BackendFinished(self.now_ms, dispatch.attempt_id, result, 5.0 + choice % 40)
        self.reduce_at_owner(dispatch.owner, finished)

    def answer_claim(self, choice: int) -> None:
        """Answer one pending claim; a claim that fails may or may not have been written."""
        if not self.pending_claims:
            return
        owner, _, claim = self.pending_claims.pop(choice % len(self.pending_claims))
        holder = self.claims.get(claim.idempotency_key)
        free = holder is None or supersedes_attempt(claim.attempt_id, holder)
        result = ClaimResult.CREATED if free else ClaimResult.TAKEN
        if choice % 5 == 0:
            result = ClaimResult.UNAVAILABLE
        if free and choice % 10 != 5:
            self.claims[claim.idempotency_key] = claim.attempt_id
        self.reduce_at_owner(owner, ClaimAnswered(self.now_ms, claim.attempt_id, result))

    def finish_response(self, choice: int) -> None:
        """End the body of one response."""
        if not self.responding:
            return
        request_id = sorted(self.responding)[choice % len(self.responding)]
        self.open_attempts.pop(self.responding.pop(request_id), None)
        self.reduce_at_ingress(ResponseFinished(self.now_ms, request_id, choice % 4 != 0))

    def close_caller_connection(self, choice: int) -> None:
        """Close the connection of the caller of one unanswered request."""
        waiting = sorted(item for item, answers in self.answers_by_request.items() if not answers)
        waiting = [item for item in waiting if item not in self.departed_callers]
        if waiting:
            request_id = waiting[choice % len(waiting)]
            self.departed_callers.add(request_id)
            self.reduce_at_ingress(CallerGone(self.now_ms, request_id))

    def change_backend(self, choice: int) -> None:
        """Drain, undrain, stop or announce an owner's backend server."""
        owner = choice % self.owner_count
        action = (choice // self.owner_count) % 5
        if action == 0:
            self.reduce_at_owner(owner, DrainRequested(self.now_ms))
        elif action == 1:
            self.reduce_at_owner(owner, UndrainRequested(self.now_ms))
        else:
            self.announce(owner, ("ready", "draining", "stopped")[action - 2])

    def advance(self, choice: int) -> None:
        """Advance the clock by ticks of 100 ms; backend servers announce their last state again."""
        for _ in range((1, 1, 1, 1, 3, 12)[choice % 6]):
            self.now_ms += 100.0
            self.reduce_at_ingress(Tick(self.now_ms))
            for owner, state in enumerate(self.owners):
                self.announce(owner, state.backend.state)
                self.reduce_at_owner(owner, Tick(self.now_ms))

    def settle(self) -> None:
        """Advance past every deadline and check that each remaining caller has an answer."""
        self.messages.clear()
        for _ in range(30):
            self.advance(0)
        for request_id, answers in self.answers_by_request.items():
            assert (
                answers or request_id in self.departed_callers
            ), f"{request_id} was never answered"
        assert not self.ingress.requests
        assert all(not view.in_flight for view in self.ingress.views.values())
