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
    "BackendServer",
    "Detection",
    "Dial",
    "DialReason",
    "ForgottenMember",
    "Link",
    "LinkHeartbeats",
    "LocalVersions",
    "MembershipState",
    "Overlay",
    "OwnReport",
    "OwnState",
    "PendingUpdate",
    "Schedule",
    "Spreading",
    "Suspect",
    "SuspicionReports",
    "UnreachableRegion",
    "make_membership_state",
]


@dataclass(frozen=True)
class LocalVersions:
    """Versions that distribution reports, for heartbeats and for the state of the own record.

    :param held_version: newest configuration version that this node holds.
    :param running_version: configuration version that this node runs.
    :param serving: whether this node may serve requests.
    :param confirmed_revision: revision of the store as of which the confirmed version was the
        newest.
    :param confirmed_ms: when the store stated that, on the monotonic clock in milliseconds, or
        ``None``.
    :param store_epoch: newest epoch of the store that is known, in which it stated that.
    :param confirmed_version: the version that the confirmation is of, when it is not the held one;
        0 for the held one.
    :param lost_store: whether this node is to watch the store, and has no answer in time.
    """

    held_version: int = 0
    running_version: int = 0
    serving: bool = False
    confirmed_revision: int = 0
    confirmed_ms: float | None = None
    store_epoch: int = 0
    confirmed_version: int = 0
    lost_store: bool = False


@dataclass(frozen=True)
class BackendServer:
    """The backend server beside this node, according to its last announcement.

    :param address: ``ip:port`` where it accepts requests.
    :param slots: requests that it runs concurrently.
    :param state: ``ready``, ``draining`` or ``stopped``.
    :param announced_ms: time of the last announcement on the monotonic clock, in milliseconds.
    :param instance_id: id of its process, or empty when it gives none.
    :param started_unix_ms: when its process started, in milliseconds since 1970, or 0.
    :param rate_limit_per_s: requests a second that it takes from all nodes together; ``None`` when
        it names no limit.
    :param software_version: version of its software, or empty when it states none.
    """

    service: str
    address: str
    slots: int
    state: MemberState
    announced_ms: float
    instance_id: str = ""
    started_unix_ms: int = 0
    rate_limit_per_s: float | None = None
    software_version: str = ""

    def is_same_process(self, other: BackendServer) -> bool:
        """Tell whether another announcement is of the same process.

        :param other: what the other announcement said.
        """
        mine = (self.address, self.instance_id, self.started_unix_ms)
        return mine == (other.address, other.instance_id, other.started_unix_ms)


@dataclass(frozen=True)
class OwnState:
    """The own record and the state from which it is computed.

    :param record: the own record as last published.
    :param backend_server: the backend server, or ``None`` before its first announcement.
    :param operator_drain: whether an operator has drained this node.
    :param shutting_down: whether the process was asked to end.
    :param work_finished: whether all requests have ended during a shutdown.
    :param incarnation_raised_ms: when the incarnation was last raised to refute a claim, on the
        monotonic clock, in milliseconds.
    """

    record: MemberRecord
    backend_server: BackendServer | None = None
    operator_drain: bool = False
    shutting_down: bool = False
    work_finished: bool = False
    incarnation_raised_ms: float = float("-inf")


@dataclass(frozen=True)
class LinkHeartbeats:
    """Heartbeats sent and received on one link.

    :param sent: number of the last one sent; 0 before any.
    :param sent_ms: when the last ones were sent, in milliseconds of the monotonic clock, oldest
        first; the last time is that of ``sent``.
    :param received: number of the last one received; 0 before any.
    """

    sent: int = 0
    sent_ms: tuple[float, ...] = ()
    received: int = 0


@dataclass(frozen=True)
class Link:
    """One open control stream to a peer. Times are in milliseconds of the monotonic clock.

    :param peer: the node at the other end.
    :param outbound: whether this node dialled.
    :param opened_ms: when it opened.
    :param last_received_ms: when the last message was received, or when the link opened.
    :param has_received: whether any message was received.
    :param digest_differs_since_ms: since when the peer's membership digest differs, or ``None``.
    :param unneeded_since_ms: since when the overlay does not need the link, or ``None``.
    :param heartbeats: numbers and times of the heartbeats on the link.
    """

    link_id: str
    peer: PeerIdentity
    outbound: bool
    opened_ms: float
    last_received_ms: float
    has_received: bool = False
    digest_differs_since_ms: float | None = None
    unneeded_since_ms: float | None = None
    heartbeats: LinkHeartbeats = LinkHeartbeats()


class DialReason:
    """Why an address is dialled.

    ``OVERLAY``: wanted peer in this region. ``GATEWAY``: contact in another region. ``VERIFY``:
    member that others suspect. ``DEAD``: dead member, which may restart. ``RENDEZVOUS``: possible
    first contact.
    """

    OVERLAY = "overlay"
    GATEWAY = "gateway"
    VERIFY = "verify"
    DEAD = "dead"
    RENDEZVOUS = "rendezvous"


@dataclass(frozen=True)
class Dial:
    """A scheduled dial, or one in flight. Times are in milliseconds of the monotonic clock.

    :param address: ``ip:port``.
    :param node_id: the member expected at the address, or empty if any.
    :param reason: one of :class:`DialReason`.
    :param due_ms: when to start the dial, or when the dial in flight times out.
    :param in_flight: whether a dial is in flight.
    :param failures: number of consecutive failed dials.
    :param expires_ms: when to stop dialling a dead member, or ``None`` for other reasons.
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
    """Links, dials, and the ring and gateways that determine which links are wanted.

    :param links: open links by link id.
    :param by_peer: link id of each linked peer.
    :param dials: addresses to dial, by address.
    :param ring: live members of the own region in ring order, as last computed.
    :param ring_dirty: whether the live members have changed since.
    :param ring_recomputations: number of times that the ring was recomputed.
    :param successors: members to which this node opens links.
    :param predecessors: members that open links to this node.
    :param gateways: gateway of each region.
    :param dirty_regions: regions whose gateway may have changed.
    :param failed_contacts: for each region without a link, the members that could not be reached.
    :param rendezvous: addresses still to dial while this node has no link.
    :param alone: whether this node has no link and has reported it.
    :param complete_since_ms: since when every wanted peer is linked, in milliseconds of the
        monotonic clock, or ``None``.
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
class SuspicionReports:
    """Suspicions of one version of one member's record.

    :param incarnation: incarnation of the suspected version.
    :param sequence: sequence number of the suspected version.
    :param reporters: for each reporter, the time of its last report that was forwarded, in
        milliseconds of the monotonic clock.
    :param check_ms: when to drop old reports and look for further reporters.
    """

    incarnation: int
    sequence: int
    reporters: Map[str, float] = Map()
    check_ms: float = 0.0


@dataclass(frozen=True)
class OwnReport:
    """The last own report on one neighbour, and how often the neighbour has refuted such reports.

    :param incarnation: the neighbour's incarnation at the last report.
    :param sequence: its sequence number at the last report.
    :param next_report_ms: when this node may report the neighbour again after a refutation.
    :param refutations: refutations so far, up to ``MAX_REPORT_BACKOFF_DOUBLINGS``.
    """

    incarnation: int
    sequence: int
    next_report_ms: float
    refutations: int = 0


@dataclass(frozen=True)
class Suspect:
    """A suspect member, which is declared dead unless it refutes in time.

    :param since_ms: when this node marked it suspect, in milliseconds of the monotonic clock.
    :param previous_state: its state before.
    """

    since_ms: float
    previous_state: MemberState


@dataclass(frozen=True)
class ForgottenMember:
    """The last version of a dead member whose record was dropped.

    :param incarnation: its incarnation when it died.
    :param sequence: its sequence number when it died.
    :param until_ms: when to drop this entry, in milliseconds of the monotonic clock.
    """

    incarnation: int
    sequence: int
    until_ms: float


@dataclass(frozen=True)
class UnreachableRegion:
    """A region that cannot be reached from this region.

    :param node_id: member of the region that is named in the report.
    :param incarnation: incarnation of that member.
    :param sequence: sequence number of that member.
    :param reporter: the gateway of this region that sent the report.
    :param reported_ms: time of the last report that was forwarded, in milliseconds of the monotonic
        clock.
    """

    node_id: str
    incarnation: int
    sequence: int
    reporter: str
    reported_ms: float


@dataclass(frozen=True)
class Detection:
    """Suspected and dead members and unreachable regions.

    :param suspicion_reports: reports on each suspected member.
    :param own_reports: the last own report on each neighbour.
    :param suspects: members whose state is ``suspect``.
    :param dead_since: when this node marked each dead member dead.
    :param next_expiry_ms: no dead or forgotten member expires before this time.
    :param forgotten: dead members whose records were dropped.
    :param cuts: unreachable regions.
    """

    suspicion_reports: Map[str, SuspicionReports] = Map()
    own_reports: Map[str, OwnReport] = Map()
    suspects: Map[str, Suspect] = Map()
    dead_since: Map[str, float] = Map()
    next_expiry_ms: float = float("inf")
    forgotten: Map[str, ForgottenMember] = Map()
    cuts: Map[str, UnreachableRegion] = Map()


@dataclass(frozen=True)
class PendingUpdate:
    """A changed record that is queued for sending.

    :param holders: ids of the links whose peers are known to hold the record.
    :param from_other_region: whether it came from another region, so that only this one needs it.
    :param other_regions_only: whether only other regions need it, because the members of this
        region derive the change by themselves.
    """

    holders: frozenset[str] = frozenset()
    from_other_region: bool = False
    other_regions_only: bool = False


@dataclass(frozen=True)
class Spreading:
    """Records that are queued for sending, and requests that were sent.

    :param pending: changed records by node id.
    :param requested: for each data centre, the peer's digest and the time of the last request.
    :param urgent_flushes: flushes since the last tick that did not wait for the next one.
    """

    pending: Map[str, PendingUpdate] = Map()
    requested: Map[str, tuple[int, float]] = Map()
    urgent_flushes: int = 0


@dataclass(frozen=True)
class Schedule:
    """Times of recurring actions, in milliseconds of the monotonic clock.

    :param started: whether the first tick has come.
    :param last_tick_ms: time of the last tick.
    :param next_heartbeat_ms: time of the next heartbeat.
    :param next_slots_read_ms: time of the next read of the relay slots.
    :param slots_read_attempts: scheduled reads since this node last lost its last link or got its
        first one.
    :param lag_ms: peak lateness of the recent ticks, which decays with each tick.
    :param next_full_report_ms: time before which a full directory is not reported again.
    :param stated_confirmed_ms: the confirmation that the last heartbeats on all links stated, or
        ``None``.
    :param stated_lost_store: whether they stated that this node has lost the store.
    """

    started: bool
    last_tick_ms: float
    next_heartbeat_ms: float
    next_slots_read_ms: float
    slots_read_attempts: int = 0
    lag_ms: float = 0.0
    next_full_report_ms: float = 0.0
    stated_confirmed_ms: float | None = None
    stated_lost_store: bool = False


@dataclass(frozen=True)
class MembershipState:
    """Everything that a node knows about the fleet.

    :param settings: settings of the node.
    :param seed: seed of the next random number.
    :param own: the own record and the state from which it is computed.
    :param directory: all member records, the own one included.
    :param overlay: links, dials, ring and gateways.
    :param detection: suspected and dead members and unreachable regions.
    :param spreading: records that are queued for sending.
    :param schedule: times of recurring actions.
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
    :param incarnation: start time of the process, or any number that is higher than in all
        earlier processes of the node.
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
        link_mbps=identity.link_mbps,
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
