"""The promises that a run must keep, as seen by callers and backend servers.

Bounds come from the users' rules. A promise with a time bound holds for nodes that nothing has
disturbed for some time; the others hold always.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bamboonotch_testing.platform_backend import BackendPlan, Run, make_body
from bamboonotch_testing.soak._record import STORE, CallRecord, Ending, Record
from bamboonotch_testing.soak._versions import MAX_ATTEMPTS, TIMEOUT_S
from bamboonotch_testing.soak._world import RETRY_SLACK

__all__ = ["CHECKS", "Breach", "find_breaches"]

# From the bounds of the users' installations.
STABLE_S = 4.0
DRAIN_S = 3.0
ACKNOWLEDGED_S = 5.0
APPLY_S = 3.0
ROLLBACK_SLACK_S = 0.25
LOSS_SLACK_S = 0.2
RECOVERY_S = 15.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
# From the users' rules.
LATE_S = 0.5
FEW = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSING_STATUSES = range(300, 500)
DENIED_FEW, DENIED_SHARE = 5, 1 / 500
SERVED_SHARE = 0.25


@dataclass(frozen=True)
class Breach:
    """A broken promise.

    :param promise: its name.
    :param detail: what was seen.
    """

    promise: str
    detail: str


def find_breaches(record: Record) -> list[Breach]:
    """Return all broken promises of a run.

    :param record: what was seen.
    """
    return [Breach(name, detail) for name, check in CHECKS.items() for detail in check(record)]


def _first_run(record: Record, call: CallRecord) -> Run | None:
    runs = record.runs.get(call.request_id)
    return runs[0][1] if runs else None


def _in_touch(record: Record, node: int, start_s: float, end_s: float) -> bool:
    """Tell whether nothing disturbed a node or its view of the store."""
    return record.is_calm(node, start_s - STABLE_S, end_s) and record.is_calm(
        STORE, start_s - STABLE_S, end_s
    )


def _check_answers(record: Record) -> Iterator[str]:
    """A success is the whole answer of a backend server to this request."""
    size_bytes = BackendPlan("", "").body_bytes
    for call in record.calls.values():
        if call.ending is not Ending.ANSWERED:
            continue
        if call.status == 200 and (
            call.answer_id != call.request_id
            or call.signature != f"{call.request_id}.1"
            or call.answer_body != make_body(call.request_id, size_bytes)
        ):
            yield f"{call.request_id}: success with {call.answer_id}, {call.signature!r}"
        elif call.status == 200 and call.request_id not in record.runs:
            yield f"{call.request_id}: success without a run"


def _check_requests(record: Record) -> Iterator[str]:
    """Backend servers run what callers sent, unchanged."""
    for request_id, runs in record.runs.items():
        call = record.calls.get(request_id)
        for place, run in runs:
            if call is None:
                yield f"{request_id}: no caller sent it"
            elif (run.method, run.path, run.body) != (call.method, call.path, call.body):
                yield f"{request_id}: run as {run.method} {run.path}"
            elif run.caller_service != record.services[call.node]:
                yield f"{request_id}: caller service {run.caller_service!r}"
            elif record.services[place] != _service_of(record, call):
                yield f"{request_id}: run by {record.services[place]}"


def _service_of(record: Record, call: CallRecord) -> str:
    return record.services[0 if call.kind in ("read", "order") else 1]


def _check_once(record: Record) -> Iterator[str]:
    """A request that is not idempotent runs once at most."""
    for request_id, runs in record.runs.items():
        call = record.calls.get(request_id)
        if call is not None and call.kind == "order" and len(runs) > 1:
            yield f"{request_id}: {len(runs)} runs"


def _check_refusals(record: Record) -> Iterator[str]:
    """A refusal that says that an order has not run is true."""
    for call in record.calls.values():
        refused = call.status in NOT_RUN_STATUSES and call.kind == "order"
        if refused and call.request_id in record.runs:
            yield f"{call.request_id}: {call.status} and run"


def _check_attempts(record: Record) -> Iterator[str]:
    """No request runs on more backend servers than its rule allows."""
    places = {key: {place for place, _ in runs} for key, runs in record.runs.items()}
    over = [key for key, seen in places.items() if len(seen) > MAX_ATTEMPTS]
    if len(over) > FEW:
        yield f"{len(over)} requests, such as {over[0]}"


def _check_retries(record: Record) -> Iterator[str]:
    """Arrivals beyond the first of each request stay within the budget of a service."""
    repeats: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for place, arrival in sorted(record.arrivals, key=lambda item: item[1].arrived_s):
        if arrival.request_id in seen:
            repeats[record.services[place]].append(arrival.arrived_s)
        seen.add(arrival.request_id)
    for service, times in repeats.items():
        sent = [
            call.sent_s for call in record.calls.values() if _service_of(record, call) == service
        ]
        for start_s in times:
            end_s = start_s + RETRY_WINDOW_S
            count = sum(start_s <= at_s < end_s for at_s in times)
            requests = max(
                sum(start_s - back_s <= at_s < end_s - back_s for at_s in sent)
                for back_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield f"{service}: {count} repeats of {requests} requests"
                return


def _check_time_left(record: Record) -> Iterator[str]:
    """Backend servers are told no more time than the caller has."""
    told = [
        (call, run)
        for call in record.calls.values()
        for _, run in record.runs.get(call.request_id, ())
    ]
    over = [call for call, run in told if run.remaining_ms > call.remaining_ms + LATE_S * 1000]
    if over:
        yield f"{len(over)} requests, such as {over[0].request_id}"


def _check_callers_that_leave(record: Record) -> Iterator[str]:
    """What a caller has left is neither sent on nor worked at much longer."""
    late, working, could_last = [], [], 0
    arrivals = defaultdict(list)
    for _, arrival in record.arrivals:
        arrivals[arrival.request_id].append(arrival.arrived_s)
    for call in record.calls.values():
        end_s = call.ended_s + LATE_S
        left = call.ending is Ending.LEFT
        if not left or not record.is_quiet(call.sent_s - STABLE_S, end_s):
            continue
        late += [call for at_s in arrivals[call.request_id] if at_s > end_s]
        for _, run in record.runs.get(call.request_id, ()):
            slow_s = BackendPlan("", "").slow_ms / 1000
            if (
                call.kind == "slow"
                and run.started_s < call.ended_s < end_s < run.started_s + slow_s
            ):
                could_last += 1
                working += [call] if run.ended_s > end_s else []
    if len(late) > FEW:
        yield f"{len(late)} arrived after their callers left, such as {late[0].request_id}"
    if len(working) > could_last / 4:
        yield f"{len(working)} of {could_last} were worked at, such as {working[0].request_id}"


def _check_time_limit(record: Record) -> Iterator[str]:
    """Every request has a final answer when its time is over."""
    late = []
    for call in record.calls.values():
        limit_s = call.sent_s + min(TIMEOUT_S, call.remaining_ms / 1000) + LATE_S
        if call.ended_s > limit_s and _in_touch(record, call.node, call.sent_s, limit_s):
            late.append(call)
    if len(late) > FEW:
        worst = max(late, key=lambda call: call.ended_s - call.sent_s)
        yield (
            f"{len(late)} requests, at worst {worst.request_id} at n{worst.node} with"
            f" {worst.remaining_ms} ms: {worst.ended_s - worst.sent_s:.2f} s, {worst.ending.value},"
            f" status {worst.status}"
        )


def _check_kept_connections(record: Record) -> Iterator[str]:
    """No node in touch closes a connection whose request it passed on."""
    cut = [
        call
        for call in record.calls.values()
        if call.ending is Ending.CUT
        and call.request_id in record.runs
        and record.is_quiet(call.sent_s - STABLE_S, call.ended_s)
        and record.is_calm(call.node, call.sent_s - STABLE_S, call.ended_s)
    ]
    if len(cut) > FEW:
        yield f"{len(cut)} requests, such as {cut[0].request_id}"


def _check_planned_work(record: Record) -> Iterator[str]:
    """A stop, a reload or a new version cuts no request."""
    for call in record.calls.values():
        if call.ending is not Ending.CUT or not record.is_quiet(
            call.sent_s - STABLE_S, call.ended_s
        ):
            continue
        passed_on = call.request_id in record.runs
        if passed_on or call.ended_s > call.sent_s + LOSS_SLACK_S:
            yield f"{call.request_id}: cut at n{call.node} after {call.ended_s - call.sent_s:.2f} s"


def _check_leaving(record: Record) -> Iterator[str]:
    """A backend server that leaves gets nothing once that is acknowledged."""
    for place, arrival in record.arrivals:
        acknowledged_s = record.leaving.get(arrival.instance_id)
        if acknowledged_s is None or arrival.arrived_s <= acknowledged_s + DRAIN_S:
            continue
        call = record.calls.get(arrival.request_id)
        nodes = {place} | ({call.node} if call is not None else set())
        if all(
            record.is_calm(node, arrival.arrived_s - STABLE_S, arrival.arrived_s) for node in nodes
        ):
            late_s = arrival.arrived_s - acknowledged_s
            yield f"{arrival.request_id}: {late_s:.2f} s after {arrival.instance_id} left"


def _added_in(call: CallRecord) -> int:
    return int(call.kind.partition("-")[2]) if call.kind.startswith("added-") else 0


def _check_versions_in_force(record: Record) -> Iterator[str]:
    """Rules of a version are in force soon after it was written."""
    for call in record.calls.values():
        version = _added_in(call)
        due_s = record.versions.get(version, 0.0) + ACKNOWLEDGED_S + APPLY_S
        if (
            version
            and call.status == 404
            and call.sent_s > due_s
            and _in_touch(record, call.node, record.versions[version], call.ended_s)
        ):
            late_s = call.sent_s - record.versions[version]
            yield f"{call.request_id}: n{call.node} has no version {version} after {late_s:.1f} s"


def _check_versions_rise(record: Record) -> Iterator[str]:
    """A process never goes back to an older version."""
    effects: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for call in record.calls.values():
        run = _first_run(record, call)
        if run is not None and _added_in(call):
            effects[call.node, call.life].append((run.started_s, _added_in(call)))
    for call in record.calls.values():
        if call.status != 404 or not _added_in(call):
            continue
        slow = 1 if record.is_calm(call.node, call.sent_s - STABLE_S, call.ended_s) else 8
        since_s = call.sent_s - ROLLBACK_SLACK_S * slow
        if any(
            at_s < since_s and version >= _added_in(call)
            for at_s, version in effects[call.node, call.life]
        ):
            yield f"{call.request_id}: n{call.node} answers 404 to {call.path} after a newer one"


def _check_denials(record: Record) -> Iterator[str]:
    """What every version allows is not denied."""
    denied = [
        call
        for call in record.calls.values()
        if call.status in REFUSING_STATUSES
        and call.status not in NOT_RUN_STATUSES
        and not call.signature
        and not _added_in(call)
    ]
    if len(denied) > DENIED_FEW + DENIED_SHARE * len(record.calls):
        yield f"{len(denied)} requests, such as {denied[0].request_id}: {denied[0].status}"


def _check_recovery(record: Record) -> Iterator[str]:
    """Requests are served again after the last fault."""
    sent = [call for call in record.calls.values() if call.sent_s > record.healed_s + RECOVERY_S]
    served = sum(call.status == 200 for call in sent)
    if not sent or served < SERVED_SHARE * len(sent):
        yield f"{served} of {len(sent)} served"


def _check_processes(record: Record) -> Iterator[str]:
    """Processes end when they are asked to, and only then."""
    yield from record.ends


CHECKS: dict[str, Callable[[Record], Iterator[str]]] = {
    "whole answers": _check_answers,
    "requests unchanged": _check_requests,
    "at most once": _check_once,
    "refused is not run": _check_refusals,
    "attempts": _check_attempts,
    "retries": _check_retries,
    "time left": _check_time_left,
    "callers that leave": _check_callers_that_leave,
    "time limit": _check_time_limit,
    "kept connections": _check_kept_connections,
    "planned work": _check_planned_work,
    "leaving backend servers": _check_leaving,
    "versions in force": _check_versions_in_force,
    "versions rise": _check_versions_rise,
    "denials": _check_denials,
    "recovery": _check_recovery,
    "processes": _check_processes,
}
