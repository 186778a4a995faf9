"""Processor time of the reducer for each kind of event, at one fleet size."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from bamboonotch_core.configuration import decode_snapshot
from bamboonotch_core.effects import Effect, SendMessage
from bamboonotch_core.events import Event, MessageReceived
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership import members_of_service, ready_services
from bamboonotch_core.messages import MemberUpdate, VersionPush, WitnessWrite
from bamboonotch_core.reducer import reduce
from bamboonotch_core.request_effects import DispatchToBackend, ForwardAttempt
from bamboonotch_core.request_events import (
    BackendFinished,
    BackendResult,
    OwnerResponded,
    RequestArrived,
    ResponseFinished,
    WorkOffered,
)
from bamboonotch_core.routing import build_routing_table
from bamboonotch_testing.capacity._document import BASE_VERSION, Documents
from bamboonotch_testing.capacity._state import TICK_MS, Driver, fill_state, make_records
from bamboonotch_wire.control import encode_message

__all__ = ["SizeResult", "measure_size"]

REPEATS = 30
REST_TICKS = 100
HEARTBEAT_TICKS = 5
UPDATE_RECORDS = 128
REST_KEY = "rest: one second"


@dataclass(frozen=True)
class SizeResult:
    """What was measured at one size.

    :param members: member records held.
    :param times_ms: processor time of each kind of event, in milliseconds.
    :param state_mb: memory of the state, in MB.
    :param degree: control streams of a node at rest.
    :param gateway_degree: control streams of a gateway.
    :param sent_bytes_per_s: encoded bytes that the node sends at rest, a second.
    :param gateway_sent_bytes_per_s: the same for a gateway.
    """

    members: int
    times_ms: dict[str, float]
    state_mb: float
    degree: int
    gateway_degree: int
    sent_bytes_per_s: float
    gateway_sent_bytes_per_s: float


def _time_ms(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median processor time of a call; other processes on the machine do not count."""
    values = []
    for _ in range(repeats):
        started_ns = time.thread_time_ns()
        call()
        values.append(time.thread_time_ns() - started_ns)
    return statistics.median(values) / 1e6


def _time_event(driver: Driver, event: Event) -> float:
    """Time an event on the same state again and again, which the pure reducer allows."""
    return _time_ms(lambda: reduce(driver.state, event))


def _copy(driver: Driver) -> Driver:
    return Driver(driver.state, driver.now_ms)


def _rest(driver: Driver) -> tuple[float, float]:
    """Let a node rest for 10 s; returns processor time in ms and bytes sent, each a second."""
    spent_ns = 0
    size_bytes = 0
    for number in range(REST_TICKS):
        started_ns = time.thread_time_ns()
        effects: list[Effect] = list(driver.tick())
        if number % HEARTBEAT_TICKS == 0:
            driver.keep_links()
            effects.extend(driver.announce())
        spent_ns += time.thread_time_ns() - started_ns
        size_bytes += sum(
            encode_message(effect.message).ByteSize()
            for effect in effects
            if isinstance(effect, SendMessage)
        )
    seconds = REST_TICKS * TICK_MS / 1000
    return spent_ns / 1e6 / seconds, size_bytes / seconds


def _time_updates(driver: Driver, records: Sequence[MemberRecord]) -> dict[str, float]:
    link = driver.link_ids()[0]

    def hear(changed: Sequence[MemberRecord]) -> MessageReceived:
        return MessageReceived(driver.now_ms, link, MemberUpdate(tuple(changed)))

    newer = [replace(record, sequence=record.sequence + 1) for record in records]
    draining = replace(newer[0], state=MemberState.DRAINING)
    dead = [replace(record, state=MemberState.DEAD) for record in newer[:UPDATE_RECORDS]]
    return {
        "member update, known already": _time_event(driver, hear(records[:1])),
        "member update, same routing": _time_event(driver, hear(newer[:1])),
        "member update, drains (table rebuilt)": _time_event(driver, hear([draining])),
        "member update, dead, one of a batch": _time_event(driver, hear(dead)) / len(dead),
    }


def _time_version(driver: Driver, documents: Documents) -> dict[str, float]:
    """Time a push until the version runs, with the acknowledgements of the witnesses."""
    link = driver.link_ids()[0]
    push = MessageReceived(driver.now_ms, link, VersionPush(BASE_VERSION + 1, documents.entry))

    def run() -> Driver:
        other = _copy(driver)
        other.acknowledge(other.feed(push))
        return other

    after = run()
    assert after.state.distribution.held_version == BASE_VERSION + 1
    assert after.state.distribution.running_version == BASE_VERSION + 1
    assert any(
        isinstance(effect, SendMessage) and isinstance(effect.message, WitnessWrite)
        for effect in _copy(driver).feed(push)
    )
    return {
        "version push until it runs": _time_ms(run, 10),
        "snapshot decoded and checked": _time_ms(
            lambda: decode_snapshot(documents.snapshot, documents.digest), 10
        ),
    }


def _time_table(driver: Driver) -> float:
    state = driver.state
    members = {
        service: members_of_service(state.membership, service)
        for service in ready_services(state.membership)
    }
    configuration = state.distribution.running_configuration
    return _time_ms(lambda: build_routing_table(configuration, BASE_VERSION, members), 10)


def _time_request(driver: Driver) -> float:
    """Time one request at the ingress: arrival, answer of the owner, end of the answer."""

    def run() -> None:
        other = _copy(driver)
        arrived = RequestArrived(
            other.now_ms, "r1", "GET", "/service-7/read/1", 2000.0, "", 0, 1_700_000_000_000
        )
        forwards = [e for e in other.feed(arrived) if isinstance(e, ForwardAttempt)]
        assert len(forwards) == 1, other.effects
        attempt = forwards[0]
        other.feed(OwnerResponded(other.now_ms, "r1", attempt.attempt_id, attempt.owner_id, 200, 1))
        other.feed(ResponseFinished(other.now_ms, "r1", True))

    return _time_ms(run)


def _time_work(driver: Driver) -> float:
    """Time one piece of work at the owner: offer and end."""

    def run() -> None:
        other = _copy(driver)
        offered = WorkOffered(
            other.now_ms,
            "r1",
            "r1/1",
            "service-0",
            "menu-read",
            other.now_ms + 2000,
            True,
            "",
        )
        effects = other.feed(offered)
        assert any(isinstance(effect, DispatchToBackend) for effect in effects), effects
        other.feed(BackendFinished(other.now_ms, "r1/1", BackendResult.DONE, 5.0))

    return _time_ms(run)


def _measure_memory(members: int, documents: Documents) -> float:
    """Return the memory of a filled state with its records, in MB."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    driver = fill_state(make_records(members - 1), documents)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert driver.state.distribution.serving
    return (after - before) / 1e6


def measure_size(members: int, documents: Documents) -> SizeResult:
    """Measure everything at one size.

    :param members: member records held, with the node's own.
    :param documents: what the node runs.
    """
    records = make_records(members - 1)
    driver = fill_state(records, documents)
    gateway = fill_state(records, documents, relay=True)
    # Learning the fleet leaves updates to be sent; they are no part of the rest.
    _rest(driver)
    _rest(gateway)
    rest_ms, sent = _rest(driver)
    gateway_ms, gateway_sent = _rest(gateway)
    link = driver.link_ids()[0]
    heartbeat = MessageReceived(driver.now_ms, link, driver.heartbeat())
    times = {
        "heartbeat received": _time_event(driver, heartbeat),
        "heartbeat encoded": _time_ms(
            lambda: encode_message(driver.heartbeat()).SerializeToString()
        ),
        **_time_updates(driver, records),
        **_time_version(driver, documents),
        "routing table rebuilt whole": _time_table(driver),
        "request at ingress": _time_request(driver),
        "work at owner": _time_work(driver),
        REST_KEY: rest_ms,
        f"{REST_KEY}, gateway": gateway_ms,
        "fleet learnt by a joiner": _time_ms(lambda: fill_state(records, documents), 3),
    }
    return SizeResult(
        members,
        times,
        _measure_memory(members, documents),
        len(driver.link_ids()),
        len(gateway.link_ids()),
        sent,
        gateway_sent,
    )
