"""State of the membership reducer."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.events import PeerIdentity
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_core.membership._directory import EMPTY_DIRECTORY, Directory, put_record
from bamboonotch_core.membership._random import next_fraction
from bamboonotch_core.membership._ring import Ring, make_ring
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "Accusation",
    "BackendServer",
    "Detection",
    "Dial",
    "DialReason",
    "Forgotten",
    "Link",
    "LocalVersions",
    "MembershipState",
    "Overlay",
    "OwnState",
    "PendingUpdate",
    "RegionCut",
    "Reported",
    "Schedule",
    "Spreading",
    "Suspect",
    "make_membership_state",
]


@dataclass(frozen=True)
class LocalVersions:
    """What distribution knows that goes into heartbeats and into the own record.

    :param held_version: newest version that this node holds.
    :param running_version: version that this node runs.
    :param serving: whether this node may serve requests.
    """

    held_version: int = 0
    running_version: int = 0
    serving: bool = False


@dataclass(frozen=True)
class BackendServer:
    """The backend server beside this node, as it announced itself.

    :param service: its service.
    :param address: ``ip:port`` where it takes requests.
    :param slots: requests that it runs at once.
    :param state: ``ready``, ``draining`` or ``stopped``.
    :param announced_ms: time of the last announcement, in milliseconds.
    """

    service: str
    address: str
    slots: int
    state: MemberState
    announced_ms: float


@dataclass(frozen=True)
class OwnState:
    """What decides this node's own record.

    :param record: the record as last published.
    :param backend_server: the backend server, or ``None`` before its first announcement.
    :param operator_drain: whether an operator drained this node.
    :param shutting_down: whether the process was asked to end.
    :param work_finished: whether the last work of a shutdown is done.
    :param raised_ms: when the incarnation was last raised, in milliseconds.
    """

    record: MemberRecord
    backend_server: BackendServer | None = None
    operator_drain: bool = False
    shutting_down: bool = False
    work_finished: bool = False
    raised_ms: float = float("-inf")


@dataclass(frozen=True)
class Link:
    """One open control stream.

    :param link_id: the stream.
    :param peer: who is at the other end.
    :param outbound: whether this node dialled.
    :param opened_ms: when it opened.
    :param heard_ms: when the last message came, or when it opened.
    :param proven: whether any message came on it.
    :param differs_since_ms: since when the peer's digest differs, or ``None``.
    :param unwanted_since_ms: since when the overlay does not need it, or ``None``.
    """

    link_id: str
    peer: PeerIdentity
    outbound: bool
    opened_ms: float
    heard_ms: float
    proven: bool = False
    differs_since_ms: float | None = None
    unwanted_since_ms: float | None = None


class DialReason:
    """Why an address is dialled."""

    OVERLAY = "overlay"
    GATEWAY = "gateway"
    VERIFY = "verify"
    DEAD = "dead"
    RENDEZVOUS = "rendezvous"


@dataclass(frozen=True)
class Dial:
    """An address that is being dialled or will be.

    :param address: ``ip:port``.
    :param node_id: the member expected there, or empty.
    :param reason: one of :class:`DialReason`.
    :param due_ms: when to dial, or until when the dial in flight may take.
    :param in_flight: whether a dial is in flight.
    :param failures: consecutive failures.
    :param expires_ms: when to give up, or ``None``.
    """

    address: str
    node_id: str
    reason: str
    due_ms: float
    in_flight: bool = False
    failures: int = 0
    expires_ms: float | None = None


@dataclass(frozen=True)
class Overlay:
    """Links, and what decides which links are wanted.

    :param links: open links by link id.
    :param by_peer: link id of each linked peer.
    :param dials: addresses to dial, by address.
    :param ring: live members of the own region in ring order, as last computed.
    :param ring_dirty: whether the live members changed since.
    :param ring_recomputations: how often the ring was computed.
    :param successors: members to which this node opens links.
    :param predecessors: members that open links to this node.
    :param gateways: gateway of each region.
    :param dirty_regions: regions whose gateway may have changed.
    :param failed_contacts: members of a region without link that could not be reached.
    :param rendezvous: addresses still to try while this node has no link.
    :param alone: whether this node has no link and has reported it.
    :param complete_since_ms: since when every wanted peer is linked, or ``None``.
    """

    links: Map[str, Link] = Map()
    by_peer: Map[str, str] = Map()
    dials: Map[str, Dial] = Map()
    ring: Ring = ()
    ring_dirty: bool = False
    ring_recomputations: int = 0
    successors: tuple[str, ...] = ()
    predecessors: tuple[str, ...] = ()
    gateways: Map[str, str] = Map()
    dirty_regions: frozenset[str] = frozenset()
    failed_contacts: Map[str, frozenset[str]] = Map()
    rendezvous: tuple[str, ...] = ()
    alone: bool = False
    complete_since_ms: float | None = None


@dataclass(frozen=True)
class Reported:
    """Suspicions of one state of one member.

    :param incarnation: the member's incarnation.
    :param sequence: its sequence number.
    :param reporters: time of the last report of each reporter that was spread.
    :param check_ms: when to look for further reporters.
    """

    incarnation: int
    sequence: int
    reporters: Map[str, float] = Map()
    check_ms: float = 0.0


@dataclass(frozen=True)
class Accusation:
    """How this node has reported one neighbour, and how often the neighbour refuted that.

    :param incarnation: the neighbour's incarnation at the last report.
    :param sequence: its sequence number at the last report.
    :param quiet_until_ms: when this node may report it again after a refutation.
    :param refutations: refutations so far.
    """

    incarnation: int
    sequence: int
    quiet_until_ms: float
    refutations: int = 0


@dataclass(frozen=True)
class Suspect:
    """A member that dies unless it refutes in time.

    :param since_ms: when it became suspect here.
    :param was: its state before.
    """

    since_ms: float
    was: MemberState


@dataclass(frozen=True)
class Forgotten:
    """What is left of a dead member whose record was dropped.

    :param incarnation: its incarnation when it died.
    :param sequence: its sequence number when it died.
    :param until_ms: when to drop this too.
    """

    incarnation: int
    sequence: int
    until_ms: float


@dataclass(frozen=True)
class RegionCut:
    """A region that cannot be reached from this region.

    :param node_id: member of the region that was reported.
    :param incarnation: its incarnation.
    :param sequence: its sequence number.
    :param reporter: the gateway of this region that reported it.
    :param reported_ms: time of the last report that was spread.
    """

    node_id: str
    incarnation: int
    sequence: int
    reporter: str
    reported_ms: float


@dataclass(frozen=True)
class Detection:
    """Suspected and dead members and unreachable regions.

    :param reported: suspicions, by suspect.
    :param accusations: own reports, by neighbour.
    :param suspects: the suspect members.
    :param dead_since: when each dead member became so.
    :param next_expiry_ms: no dead or forgotten member expires before this time.
    :param forgotten: dead members whose records were dropped.
    :param cuts: unreachable regions.
    """

    reported: Map[str, Reported] = Map()
    accusations: Map[str, Accusation] = Map()
    suspects: Map[str, Suspect] = Map()
    dead_since: Map[str, float] = Map()
    next_expiry_ms: float = float("inf")
    forgotten: Map[str, Forgotten] = Map()
    cuts: Map[str, RegionCut] = Map()


@dataclass(frozen=True)
class PendingUpdate:
    """A changed record that waits to be spread.

    :param holders: links on which the peer is known to hold it.
    :param from_abroad: whether it came from another region, so that only this one needs it.
    :param only_abroad: whether the members of this region know it by themselves.
    """

    holders: frozenset[str] = frozenset()
    from_abroad: bool = False
    only_abroad: bool = False


@dataclass(frozen=True)
class Spreading:
    """What waits to be sent or was asked for.

    :param pending: changed records by node id.
    :param requested: digest and time of the last request for each data centre.
    :param urgent_flushes: flushes since the last tick that did not wait for it.
    """

    pending: Map[str, PendingUpdate] = Map()
    requested: Map[str, tuple[int, float]] = Map()
    urgent_flushes: int = 0


@dataclass(frozen=True)
class Schedule:
    """When things happen next, in milliseconds of the monotonic clock.

    :param started: whether the first tick has come.
    :param last_tick_ms: time of the last tick.
    :param heartbeat_ms: time of the next heartbeat.
    :param slots_read_ms: time of the next read of the relay slots.
    :param slots_read_failures: consecutive reads that led to no link.
    :param lag_ms: how late ticks came lately, a peak that fades.
    :param full_report_ms: time before which a full directory is not reported again.
    """

    started: bool
    last_tick_ms: float
    heartbeat_ms: float
    slots_read_ms: float
    slots_read_failures: int = 0
    lag_ms: float = 0.0
    full_report_ms: float = 0.0


@dataclass(frozen=True)
class MembershipState:
    """Everything that a node knows of the fleet.

    :param settings: settings of the node.
    :param seed: seed of the next random number.
    :param own: what decides the own record.
    :param directory: all member records, the own one included.
    :param overlay: links and what decides them.
    :param detection: suspected and dead members.
    :param spreading: what waits to be sent.
    :param schedule: when things happen next.
    :param routing_generation: raised when the ready members or the usable regions change.
    """

    settings: NodeSettings
    seed: int
    own: OwnState
    directory: Directory
    overlay: Overlay
    detection: Detection
    spreading: Spreading
    schedule: Schedule
    routing_generation: int = 0


def make_membership_state(
    settings: NodeSettings, incarnation: int, seed: int, now_ms: float
) -> MembershipState:
    """Return the state of a node that has just started and knows only itself.

    :param settings: settings of the node.
    :param incarnation: start time of the process, or any number that is higher than the
        process's former ones.
    :param seed: seed of the random numbers; must differ between nodes.
    :param now_ms: monotonic clock, in milliseconds.
    """
    identity = settings.identity
    record = MemberRecord(
        node_id=identity.node_id,
        incarnation=incarnation,
        sequence=0,
        region=identity.region,
        data_centre=identity.data_centre,
        peer_address=identity.peer_address,
        http_address=identity.http_address,
        admin_address=identity.admin_address,
        service="",
        slots=0,
        state=MemberState.JOINING,
        relay_slot=-1,
    )
    directory = put_record(EMPTY_DIRECTORY, record)
    fraction, seed = next_fraction(seed)
    first_heartbeat_ms = now_ms + fraction * settings.membership.heartbeat_interval_ms
    return MembershipState(
        settings=settings,
        seed=seed,
        own=OwnState(record),
        directory=directory,
        overlay=Overlay(
            ring=make_ring(iter(directory.regions[identity.region].live.items())),
            gateways=Map({identity.region: identity.node_id}),
        ),
        detection=Detection(),
        spreading=Spreading(),
        schedule=Schedule(False, now_ms, first_heartbeat_ms, now_ms),
    )
