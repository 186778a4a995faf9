"""The composed reducer of a node."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch

from bamboonotch_core._announcement_service import (
    find_service_fault,
    find_service_misfit,
    outranks,
)
from bamboonotch_core._departures_part import (
    check_departures,
    keep_for_peer,
    limit_hearing,
    return_to_peer,
    share_departures,
)
from bamboonotch_core._membership_view import refresh_view
from bamboonotch_core._quota_part import answer_own_asks
from bamboonotch_core._quota_reducer import (
    elect_lenders,
    reduce_quota_event,
    refresh_node_lenders,
)
from bamboonotch_core._rollout_parts import (
    concerns_rollouts,
    count_work,
    divide_traffic,
    find_server,
    hold_version,
    is_cold,
)
from bamboonotch_core._slot_competition import wants_slot
from bamboonotch_core._versions_part import (
    echo_sent_ms,
    follow_versions,
    local_versions,
    reads_members,
    refresh_knowledge,
    refresh_table,
)
from bamboonotch_core.admission import (
    begin_shutdown,
    is_idle,
    reduce_admission,
    with_incarnation,
)
from bamboonotch_core.announcements import (
    LEAVING_STATES,
    complete_departure,
    has_departed,
    is_departure_of_another,
    is_late_drain,
    is_new_departure,
    is_outdated,
    make_departure,
    says_leaving,
    started_after,
    widen_departure,
    with_departure,
    with_known_departure,
)
from bamboonotch_core.departure_messages import Departures
from bamboonotch_core.effects import (
    CompeteForSlot,
    CountEvent,
    Effect,
    KeepDeparture,
    Report,
    StopCompeting,
    StopProcess,
)
from bamboonotch_core.events import (
    BackendServerAnnounced,
    BackendServerStated,
    DepartureRecalled,
    DrainRequested,
    Event,
    IdentityChanged,
    LinkOpened,
    MessageReceived,
    ShutdownRequested,
    Tick,
    UndrainRequested,
)
from bamboonotch_core.membership import (
    find_announcement_fault,
    finish_shutdown,
    own_record,
    reduce_membership,
)
from bamboonotch_core.outcomes import end_requests, reduce_outcomes
from bamboonotch_core.quota_events import (
    QuotaAnswered,
    QuotaAsked,
    QuotaAskLost,
    ShardHeld,
    ShardLost,
)
from bamboonotch_core.rate_limit import RateLimit
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_events import (
    BackendFinished,
    CallerGone,
    ClaimAnswered,
    FenceReceived,
    OwnerReply,
    RequestArrived,
    ResponseFinished,
    WorkCancelled,
    WorkOffered,
)
from bamboonotch_core.rollouts import reduce_rollouts
from bamboonotch_core.state import NodeState
from bamboonotch_core.transition import Transition

__all__ = ["reduce"]

# Time for the stopped record to leave this process.
STOP_DELAY_MS = 300
SET_ASIDE = "announcement-set-aside"
# Other writers that are told apart in reports.
MAX_SET_ASIDE = 16

NodeTransition = Transition[NodeState]


def reduce(state: NodeState, event: Event) -> NodeTransition:
    """Return the state after an event and the effects of it.

    :param state: the state before.
    :param event: what happened.
    """
    return _reduce_event(event, state)


@singledispatch
def _reduce_event(event: Event, state: NodeState) -> NodeTransition:
    """Reduce an event of the control part, which is the default."""
    versions = local_versions(state)
    membership = reduce_membership(state.membership, event, versions)
    with_members = reads_members(state.distribution)
    view = refresh_view(state.view, state.membership, membership.state, with_members)
    echo_ms = echo_sent_ms(membership.state, event)
    distribution = follow_versions(state.distribution, event, view, echo_ms)
    after = replace_fields(
        state,
        membership=membership.state,
        view=view,
        distribution=distribution.state,
        admission=with_incarnation(state.admission, own_record(membership.state).incarnation),
    )
    if not concerns_rollouts(state.rollouts, event):
        return Transition(after, membership.effects + distribution.effects)
    server = find_server(membership.state)
    rollouts = reduce_rollouts(state.rollouts, event, view, server)
    # A peer must know the orders before it can serve with a configuration from here.
    effects = membership.effects + rollouts.effects + distribution.effects
    return Transition(replace_fields(after, rollouts=rollouts.state), effects)


def _reduce_ingress(event: Event, state: NodeState) -> NodeTransition:
    state = refresh_node_lenders(refresh_table(state))
    if isinstance(event, RequestArrived):
        state = refresh_knowledge(state)
    traffic = divide_traffic(state.rollouts, state.outcomes.traffic, event.now_ms)
    if traffic is not state.outcomes.traffic:
        state = replace_fields(state, outcomes=replace_fields(state.outcomes, traffic=traffic))
    outcomes = reduce_outcomes(state.outcomes, event, state.table)
    quota = state.quota
    if quota.limited and outcomes.effects:
        quota, outcomes = answer_own_asks(
            quota, outcomes, state.table, state.outcomes.settings.quotas, event.now_ms
        )
    state = replace_fields(state, outcomes=outcomes.state, quota=quota)
    return Transition(state, outcomes.effects)


def _reduce_lender(event: Event, state: NodeState) -> NodeTransition:
    assert isinstance(event, QuotaAsked | ShardHeld | ShardLost)
    return reduce_quota_event(event, state, _reduce_control)


def _reduce_owner(event: Event, state: NodeState) -> NodeTransition:
    configuration = state.distribution.running_configuration
    if not state.rollouts.known:
        admission = reduce_admission(state.admission, event, configuration)
        return Transition(replace_fields(state, admission=admission.state), admission.effects)
    before = state.admission
    reports: tuple[Effect, ...] = ()
    server = find_server(state.membership)
    if isinstance(event, WorkOffered):
        state = refresh_table(state)
        before, reports = hold_version(state.rollouts, before, server, event)
    admission = reduce_admission(before, event, configuration)
    cold = is_cold(state.announcement, event.now_ms)
    rollouts = count_work(state.rollouts, before, admission.state, event, server, state.table, cold)
    after = replace_fields(state, admission=admission.state, rollouts=rollouts)
    return Transition(after, reports + admission.effects)


def _reduce_control(event: Event, state: NodeState) -> NodeTransition:
    return _reduce_event.dispatch(Event)(event, state)


def _reduce_all(event: Event, state: NodeState) -> NodeTransition:
    """Reduce an event that concerns every part."""
    effects: list[Effect] = []
    for part in (_reduce_control, _reduce_owner, _reduce_ingress):
        transition = part(event, state)
        state = transition.state
        effects.extend(transition.effects)
    return Transition(state, tuple(effects))


_REDUCERS: dict[Callable[[Event, NodeState], NodeTransition], tuple[type[Event], ...]] = {
    _reduce_ingress: (
        RequestArrived,
        OwnerReply,
        ResponseFinished,
        CallerGone,
        QuotaAnswered,
        QuotaAskLost,
    ),
    _reduce_lender: (QuotaAsked, ShardHeld, ShardLost),
    _reduce_owner: (WorkOffered, ClaimAnswered, BackendFinished, WorkCancelled, FenceReceived),
    _reduce_all: (DrainRequested, UndrainRequested),
}
for _reducer, _event_types in _REDUCERS.items():
    for _event_type in _event_types:
        _reduce_event.register(_event_type, _reducer)


@_reduce_event.register
def _(event: BackendServerAnnounced, state: NodeState) -> NodeTransition:
    fault = find_announcement_fault(event)
    if fault:
        return Transition(state, (Report("announcement-refused", (("reason", fault),)),))
    latest = state.announcement
    basis = (state.identity.service, state.distribution.running_configuration)
    misfit = find_service_misfit(event, latest, *basis)
    if misfit:
        return _set_aside(event, misfit, state)
    if outranks(event, latest, *basis):
        latest = None
    departure = widen_departure(latest, event)
    event = with_known_departure(latest, complete_departure(latest, event))
    if is_departure_of_another(latest, event):
        remembered = _remember_departure(departure, state)
        report = Report("departure-remembered", (("instance_id", event.instance_id),))
        return Transition(remembered.state, (report, *remembered.effects))
    if has_departed(state.departures, event) or is_outdated(latest, event):
        fields = (
            ("instance_id", event.instance_id),
            ("state", event.state),
            ("sequence", -1 if event.sequence is None else event.sequence),
        )
        report = Report("announcement-outdated", fields)
        if is_late_drain(latest, event):
            return Transition(state, (report,))
        # The next process of this node may not hear first of the one that is in use here.
        remembered = _remember_departure(departure, state)
        return Transition(remembered.state, (report, *remembered.effects))
    return _take_announcement(event, departure, state)


def _set_aside(event: BackendServerAnnounced, reason: str, state: NodeState) -> NodeTransition:
    """Count an announcement of another writer, and report the first one of each process."""
    writer = (event.instance_id, event.service)
    if writer in state.set_aside:
        return Transition(state, (CountEvent(SET_ASIDE),))
    known = (*state.set_aside, writer)[-MAX_SET_ASIDE:]
    fields = (
        ("instance_id", event.instance_id),
        ("started_unix_ms", event.started_unix_ms),
        ("state", event.state),
        ("reason", reason),
    )
    return Transition(replace_fields(state, set_aside=known), (Report(SET_ASIDE, fields),))


@_reduce_event.register
def _(event: IdentityChanged, state: NodeState) -> NodeTransition:
    """Take over which service belongs on this VM; the server in use stays until it ends."""
    return Transition(replace_fields(state, identity=event.identity))


def _take_announcement(
    event: BackendServerAnnounced, departure: BackendServerAnnounced, state: NodeState
) -> NodeTransition:
    """Apply an announcement, and remember the departure that it tells, if any."""
    remembered = _remember_departure(departure, state)
    transition = _reduce_all(event, replace_fields(remembered.state, announcement=event))
    return Transition(transition.state, transition.effects + remembered.effects)


def _remember_departure(event: BackendServerAnnounced, state: NodeState) -> NodeTransition:
    """Remember a departure here and, when it is new, for the next process of this node."""
    if event.state not in LEAVING_STATES or not event.instance_id:
        return Transition(state)
    is_new = is_new_departure(state.departures, event)
    departures = with_departure(state.departures, event)
    state = replace_fields(state, departures=departures)
    if not is_new:
        return Transition(state)
    return Transition(
        state, (KeepDeparture(event), *share_departures(state.membership, departures))
    )


@_reduce_event.register
def _(event: LinkOpened, state: NodeState) -> NodeTransition:
    transition = _reduce_control(event, state)
    state = transition.state
    told = return_to_peer(
        state.membership, state.departures, state.peer_departures, event.link_id, event.now_ms
    )
    return Transition(state, transition.effects + told)


@_reduce_event.register
def _(event: MessageReceived, state: NodeState) -> NodeTransition:
    transition = _reduce_control(event, state)
    if not isinstance(event.message, Departures):
        return transition
    after = _take_departures(event.message, event, transition.state)
    return Transition(after.state, transition.effects + after.effects)


def _take_departures(
    message: Departures, event: MessageReceived, state: NodeState
) -> NodeTransition:
    """Keep the departures of a neighbour, or take over those of an earlier process of this node."""
    sender, refusal = check_departures(state.membership, message, event.link_id)
    if refusal is not None or not sender:
        return Transition(state, () if refusal is None else (refusal,))
    if message.node_id == sender:
        kept = keep_for_peer(state.peer_departures, message, event.now_ms)
        return Transition(replace_fields(state, peer_departures=kept))
    effects: list[Effect] = []
    for item in message.departures:
        departure = limit_hearing(item, own_record(state.membership).incarnation)
        if not is_new_departure(state.departures, departure):
            continue
        fault = find_service_fault(departure, state.identity.service)
        if fault:
            effects.append(Report("departure-refused", (("peer", sender), ("reason", fault))))
            continue
        recalled = _reduce_event(DepartureRecalled(event.now_ms, departure), state)
        state = recalled.state
        shared = share_departures(state.membership, state.departures)
        effects += (*recalled.effects, KeepDeparture(departure), *shared)
    return Transition(state, tuple(effects))


@_reduce_event.register
def _(event: BackendServerStated, state: NodeState) -> NodeTransition:
    """Apply what a response said, unless it is of an earlier process at the same address."""
    latest = state.announcement
    process = (event.instance_id, event.started_unix_ms)
    if latest is None or (latest.instance_id, latest.started_unix_ms) != process:
        return Transition(state)
    limited = _apply_rate(event, latest, state)
    if not event.leaving or latest.leaving:
        return limited
    fields = (("service", latest.service), ("instance_id", event.instance_id))
    departure = make_departure(latest, event.now_ms)
    left = _take_announcement(departure, departure, limited.state)
    report = Report("backend-server-leaves", fields)
    return Transition(left.state, (*limited.effects, report, *left.effects))


def _apply_rate(
    event: BackendServerStated, latest: BackendServerAnnounced, state: NodeState
) -> NodeTransition:
    before = state.admission.rate_limit
    transition = _reduce_all(event, state)
    if event.rate_limit_per_s == (None if before is None else before.named_per_s):
        return transition
    report = _make_rate_report(latest, before, event)
    return Transition(transition.state, (report, *transition.effects))


def _make_rate_report(
    latest: BackendServerAnnounced, before: RateLimit | None, event: BackendServerStated
) -> Report:
    fields = (
        ("service", latest.service),
        ("instance_id", event.instance_id),
        ("before_per_s", "none" if before is None else before.named_per_s),
        ("per_s", "none" if event.rate_limit_per_s is None else event.rate_limit_per_s),
    )
    return Report("rate-limit-named", fields)


@_reduce_event.register
def _(event: DepartureRecalled, state: NodeState) -> NodeTransition:
    """Take over what an earlier process had acknowledged, unless a later server is there."""
    recalled = replace_fields(event.announcement, now_ms=event.now_ms)
    fault = find_announcement_fault(recalled) or find_service_fault(
        recalled, state.identity.service
    )
    if fault:
        return Transition(state, (Report("departure-refused", (("reason", fault),)),))
    latest = state.announcement
    departures = with_departure(state.departures, recalled)
    state = replace_fields(state, departures=departures)
    if latest is not None:
        if latest.instance_id != recalled.instance_id or started_after(recalled, latest):
            return Transition(state)
        recalled = complete_departure(latest, recalled)
    if latest is not None and says_leaving(recalled, latest):
        recalled = make_departure(latest, event.now_ms)
    elif is_outdated(latest, recalled):
        return Transition(state)
    fields = (("instance_id", recalled.instance_id), ("state", recalled.state))
    transition = _reduce_all(recalled, replace_fields(state, announcement=recalled))
    return Transition(transition.state, (Report("departure-recalled", fields), *transition.effects))


@_reduce_event.register
def _(event: ShutdownRequested, state: NodeState) -> NodeTransition:
    if state.shutdown_deadline_ms is not None:
        return Transition(state)
    requests = state.membership.settings.requests
    deadline_ms = event.now_ms + requests.longest_shutdown_ms
    limited = begin_shutdown(state.admission, deadline_ms, event.now_ms)
    state = replace_fields(
        state,
        shutdown_deadline_ms=deadline_ms,
        admission=limited.state,
        outcomes=replace_fields(state.outcomes, requests_end_ms=deadline_ms),
        shutdown_drain_ms=event.now_ms + requests.drain_after_ms,
        shutdown_idle_after_ms=event.now_ms + requests.shutdown_spread_ms,
    )
    draining = _drain_when_due(state, event.now_ms)
    return Transition(draining.state, limited.effects + draining.effects)


def _drain_when_due(state: NodeState, now_ms: float) -> NodeTransition:
    """Let a process that shuts down stop taking work for its backend server, once it is time."""
    if state.shutdown_drain_ms is None or now_ms < state.shutdown_drain_ms:
        return Transition(state)
    # Outcomes are told later: work in flight at the backend server may call other services.
    event = ShutdownRequested(now_ms)
    control = _reduce_control(event, replace_fields(state, shutdown_drain_ms=None))
    owner = _reduce_owner(event, control.state)
    return Transition(owner.state, control.effects + owner.effects)


@_reduce_event.register
def _(event: Tick, state: NodeState) -> NodeTransition:
    transition = _compete(_reduce_all(event, state))
    transition = elect_lenders(transition, event.now_ms, _reduce_control)
    draining = _drain_when_due(transition.state, event.now_ms)
    transition = Transition(draining.state, transition.effects + draining.effects)
    if _must_refuse_callers(transition.state, event.now_ms):
        refusing = _reduce_ingress(ShutdownRequested(event.now_ms), transition.state)
        transition = Transition(refusing.state, transition.effects + refusing.effects)
    state = transition.state
    if state.stop_ms is not None:
        stop = (StopProcess(),) if event.now_ms >= state.stop_ms else ()
        return Transition(state, transition.effects + stop)
    if not _may_leave(state, event):
        return transition
    # Answers and refusals reach the callers in the time that the leaving takes to spread.
    ended = end_requests(state.outcomes, event.now_ms)
    leaving = finish_shutdown(state.membership, event.now_ms, local_versions(state))
    state = replace_fields(
        state,
        outcomes=ended.state,
        membership=leaving.state,
        stop_ms=event.now_ms + STOP_DELAY_MS,
    )
    return Transition(state, transition.effects + ended.effects + leaving.effects)


def _compete(transition: NodeTransition) -> NodeTransition:
    """Start or stop competing for a relay slot, when the members have changed."""
    state = transition.state
    directory, linked = state.membership.directory, bool(state.membership.overlay.links)
    if directory is state.slots_directory and linked == state.slots_linked:
        return transition
    state = replace_fields(state, slots_directory=directory, slots_linked=linked)
    wanted = wants_slot(state.membership)
    if wanted is None or wanted == state.competing:
        return Transition(state, transition.effects)
    effect = CompeteForSlot() if wanted else StopCompeting()
    return Transition(replace_fields(state, competing=wanted), (*transition.effects, effect))


def _must_refuse_callers(state: NodeState, now_ms: float) -> bool:
    """Tell whether a process that shuts down must take no more requests."""
    if state.shutdown_deadline_ms is None or state.outcomes.shutting_down:
        return False
    return is_idle(state.admission) and now_ms >= state.shutdown_idle_after_ms


def _may_leave(state: NodeState, tick: Tick) -> bool:
    """Tell whether a process that shuts down has no work left, or no time."""
    if state.shutdown_deadline_ms is None:
        return False
    if tick.now_ms >= state.shutdown_deadline_ms:
        return True
    idle = is_idle(state.admission) and not state.outcomes.requests and not tick.owned_attempts
    return idle and tick.now_ms >= state.shutdown_idle_after_ms
