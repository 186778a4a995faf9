"""How the roll-outs take part in the reducer of a node; without an order nothing changes."""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.admission import AdmissionState
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import BackendServerAnnounced, Event, LinkOpened, MessageReceived, Tick
from bamboonotch_core.member_record import MemberState
from bamboonotch_core.membership import MembershipState, own_record
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import RequestReport
from bamboonotch_core.request_events import BackendFinished, BackendResult, WorkOffered
from bamboonotch_core.rollout_messages import RolloutPlan
from bamboonotch_core.rollouts import (
    OwnServer,
    RolloutFailed,
    RolloutOrdersRead,
    RolloutRead,
    RolloutsState,
    RolloutWritten,
    Traffic,
    count_arrival,
    count_end,
    decide_traffic,
    is_counted,
    note_lost,
    refusal_cause,
)
from bamboonotch_core.routing import RouteMatch, RoutingTable, match_route

__all__ = [
    "concerns_rollouts",
    "count_work",
    "divide_traffic",
    "find_server",
    "hold_version",
    "is_cold",
]

ROLLOUT_EVENTS = (
    RolloutOrdersRead,
    RolloutRead,
    RolloutWritten,
    RolloutFailed,
    LinkOpened,
    MessageReceived,
    Tick,
)
# Status codes that say that the request has not run, and so nothing of the version.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FIRST_FAILURE_STATUS = 500


def concerns_rollouts(rollouts: RolloutsState, event: Event) -> bool:
    """Tell whether an event of the control part may change what is known of roll-outs."""
    if rollouts.known:
        return isinstance(event, ROLLOUT_EVENTS)
    if isinstance(event, MessageReceived):
        return isinstance(event.message, RolloutPlan)
    return isinstance(event, RolloutOrdersRead)


def find_server(membership: MembershipState) -> OwnServer:
    """Return the backend server beside this node as its member record describes it."""
    own = own_record(membership)
    ready = own.state is MemberState.READY
    return OwnServer(own.service, own.software_version, own.incarnation, ready)


def divide_traffic(
    rollouts: RolloutsState, traffic: Map[str, Traffic], now_ms: float
) -> Map[str, Traffic]:
    """Return how requests are divided between versions, by service.

    :param traffic: the same as of the last request, which is returned if nothing has changed.
    """
    if not rollouts.known and not traffic:
        return traffic
    divided = {
        service: found
        for service in rollouts.known
        if (found := decide_traffic(rollouts, service, now_ms)) is not None
    }
    return traffic if dict(traffic) == divided else Map(divided)


def hold_version(
    rollouts: RolloutsState, admission: AdmissionState, server: OwnServer, event: WorkOffered
) -> tuple[AdmissionState, tuple[Effect, ...]]:
    """Decide whether the version of the backend server may take an offered attempt.

    :returns: the state that refuses or takes it, and a report of a refusal.
    """
    service, version = event.service, server.software_version
    cause = refusal_cause(rollouts, service, version, server.incarnation, event.now_ms)
    if bool(cause) is not admission.version_held:
        admission = replace_fields(admission, version_held=bool(cause))
    if not cause:
        return admission, ()
    known = rollouts.known[service]
    fields = (
        ("request", event.request_id),
        ("service", service),
        ("version", version),
        ("cause", cause),
        ("plan_number", known.plan.number),
        ("plan_age_ms", int(event.now_ms - known.heard_ms)),
    )
    return admission, (RequestReport("version-held", fields, cause),)


def count_work(
    rollouts: RolloutsState,
    before: AdmissionState,
    after: AdmissionState,
    event: Event,
    server: OwnServer,
    table: RoutingTable,
    cold: bool,
) -> RolloutsState:
    """Count what the owner took or ended with an event.

    :param before: the owner side before the event.
    :param after: the owner side after the event.
    :param table: the routing table in use, which names the route.
    :param cold: whether the backend server is still slow after its start.
    """
    if isinstance(event, WorkOffered):
        taken = event.attempt_id in after.live and event.attempt_id not in before.live
        if not taken or not is_counted(rollouts, event.service):
            return rollouts
        match = match_route(table, event.method, event.path) if event.path else None
        route = match.route.name if isinstance(match, RouteMatch) else event.request_class
        return count_arrival(
            rollouts, event.service, server.software_version, event.attempt_id, route
        )
    if not rollouts.live:
        return rollouts
    if isinstance(event, BackendFinished):
        failed, latency_ms = _response_of(before, event)
        if failed and event.result is BackendResult.UNKNOWN:
            rollouts, counted = note_lost(rollouts, event.now_ms)
            failed = True if counted else None
        rollouts = count_end(rollouts, event.attempt_id, failed, 0.0 if cold else latency_ms)
    if not isinstance(event, Tick):
        return rollouts
    # Attempts that were refused, evicted or cancelled in the queue end without a result.
    ended = [attempt_id for attempt_id in rollouts.live if attempt_id not in after.live]
    for attempt_id in ended:
        rollouts = count_end(rollouts, attempt_id, None, 0.0)
    return rollouts


def _response_of(before: AdmissionState, event: BackendFinished) -> tuple[bool | None, float]:
    """Return whether a response was a failure, and its latency if that is usual."""
    attempt = before.live.get(event.attempt_id)
    if event.result.is_not_run or event.status in NOT_RUN_STATUSES:
        return None, 0.0
    if attempt is not None and attempt.aborted:
        # Nobody waits for it any more; it took at least as long as until now.
        return False, event.latency_ms
    failed = event.result is BackendResult.UNKNOWN or event.status >= FIRST_FAILURE_STATUS
    return failed, event.latency_ms


def is_cold(announcement: BackendServerAnnounced | None, now_ms: float) -> bool:
    """Tell whether a backend server is still slow after its start."""
    return announcement is not None and now_ms < announcement.now_ms + announcement.cold_ms
