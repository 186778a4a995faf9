"""Settings objects, passed whole to the parts they configure.

``bamboonotch_node.settings`` reads them from an INI file. Each class is a section; each field is
a key with its unit as the suffix.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "AccessSettings",
    "AdmissionSettings",
    "DistributionSettings",
    "IdentitySettings",
    "MembershipSettings",
    "NodeSettings",
    "PushMode",
    "QuotaSettings",
    "RequestSettings",
    "StoreSettings",
]


# One that is lost and one that is late do not stop a backend server.
MISSED_ANNOUNCEMENTS = 3
# Time from the last answer to the end of the process: its leaving spreads, connections close.
PROCESS_END_MS = 900
# Time for work that was taken last.
LAST_WORK_MS = 1000


class PushMode(Enum):
    """How a new version is offered to neighbours of the same region."""

    EAGER = "eager"
    ANNOUNCE = "announce"


@dataclass(frozen=True)
class IdentitySettings:
    """Section ``[node]``: who and where this node is.

    :param node_id: unique id of the node.
    :param tenant: the customer whose fleet this is.
    :param region: region of the VM.
    :param data_centre: data centre of the VM.
    :param peer_address: ``ip:port`` for streams between nodes.
    :param http_address: ``ip:port`` for callers.
    :param admin_address: ``ip:port`` for operators and the local backend server.
    :param seed_addresses: peer addresses to try when the store does not answer.
    :param peer_listen_address: ``ip:port`` to bind for streams, when it differs from the address
        that others dial; empty for the same.
    :param service: service of the backend server that belongs on this VM, if it is known before
        that server announces itself; announcements of other services are then set aside.
    :param ready_address: ``ip:port`` for readiness checks, where the installation has them.
    :param announcement_address: ``ip:port`` for announcements of the backend server, where they do
        not come to the admin address.
    :param link_mbps: rate of the VM's link, in megabits per second; 0 when it is not known.
    :param memory_mb: memory of the VM, in megabytes; bounds what callers can make a node hold.
    :param max_site_connections: connections to each of the admin, readiness and announcement
        addresses at most.
    """

    node_id: str
    tenant: str
    region: str
    data_centre: str
    peer_address: str
    http_address: str
    admin_address: str
    seed_addresses: tuple[str, ...] = ()
    peer_listen_address: str = ""
    service: str = ""
    ready_address: str = ""
    announcement_address: str = ""
    link_mbps: float = 0.0
    memory_mb: int = 200
    max_site_connections: int = 32


@dataclass(frozen=True)
class StoreSettings:
    """Section ``[store]``: the platform's key-value service.

    :param address: ``ip:port`` of the service.
    :param region: region that the service is in.
    :param timeout_ms: longest wait for an answer, in milliseconds.
    :param watch_ms: length of one waiting watch, in milliseconds.
    :param lease_ms: lifetime of a relay slot's lease, in milliseconds.
    :param slots_per_data_centre: relay slots of each data centre.
    """

    address: str
    region: str
    timeout_ms: int = 1000
    watch_ms: int = 2500
    lease_ms: int = 10_000
    slots_per_data_centre: int = 3


@dataclass(frozen=True)
class DistributionSettings:
    """Section ``[distribution]``.

    :param push: how a new version is offered within a region.
    :param snapshot_interval_versions: versions between two snapshots in the store.
    :param max_delta_versions: entries sent to a neighbour before a snapshot is cheaper.
    :param witness_count: neighbours that remember what this node runs.
    :param retry_ms: wait before a request without an answer is sent again, in milliseconds.
    """

    push: PushMode = PushMode.EAGER
    snapshot_interval_versions: int = 16
    max_delta_versions: int = 64
    witness_count: int = 5
    retry_ms: int = 1000


@dataclass(frozen=True)
class MembershipSettings:
    """Section ``[membership]``.

    :param heartbeat_interval_ms: time between two heartbeats on a link, in milliseconds.
    :param silent_after_ms: silence after which a link is replaced, in milliseconds.
    :param suspicion_ms: time that a suspected member has to refute, in milliseconds.
    :param dead_retention_ms: how long the record of a dead member is kept, in milliseconds.
    :param redial_ms: how long a dead member's address is dialled again, in milliseconds.
    :param backoff_min_ms: first wait before dialling again, in milliseconds.
    :param backoff_max_ms: longest wait before dialling again, in milliseconds.
    :param announcement_timeout_ms: silence after which the local backend server counts as
        stopped, in milliseconds, unless it announces itself more seldom.
    :param announcement_interval_ms: time between two announcements of the local backend server, in
        milliseconds.
    :param max_members: records held at most.
    """

    heartbeat_interval_ms: int = 500
    silent_after_ms: int = 1500
    suspicion_ms: int = 1000
    dead_retention_ms: int = 600_000
    redial_ms: int = 60_000
    backoff_min_ms: int = 100
    backoff_max_ms: int = 5000
    announcement_timeout_ms: int = 1500
    announcement_interval_ms: int = 500
    max_members: int = 10_000

    @property
    def announcement_silence_ms(self) -> int:
        """Silence after which the local backend server counts as stopped, in milliseconds."""
        return max(
            self.announcement_timeout_ms, MISSED_ANNOUNCEMENTS * self.announcement_interval_ms
        )


@dataclass(frozen=True)
class AccessSettings:
    """Section ``[access]``: keys of callers.

    :param revocation_ms: time after the removal of a key until no request with it runs, whichever
        nodes the store can reach, in milliseconds; 0 to accept known keys without a bound.
    :param freshness_ms: time within which a version must be in force, in milliseconds. Longest time
        since the running version was known to be the newest for which a key that it lacks is called
        unknown; decides when an answer of the store is late.
    """

    revocation_ms: int = 0
    freshness_ms: int = 3000


@dataclass(frozen=True)
class AdmissionSettings:
    """Section ``[admission]``: the owner's side of a request.

    :param max_attempts_kept: finished and fenced attempts remembered at most.
    :param attempt_retention_ms: how long they are remembered, in milliseconds.
    :param latency_factor: latency over the best seen at which concurrency is cut.
    """

    max_attempts_kept: int = 50_000
    attempt_retention_ms: int = 60_000
    latency_factor: float = 3.0


@dataclass(frozen=True)
class RequestSettings:
    """Section ``[requests]``: the ingress side of a request.

    :param max_requests: requests in progress at most.
    :param max_body_bytes: largest request body, in bytes.
    :param max_header_bytes: largest sum of header names and values, in bytes.
    :param max_header_fields: fields of the head of a request at most.
    :param caller_memory_bytes: bound on what callers can make the node hold, in bytes; 0 for a
        share of the VM's memory.
    :param max_caller_connections: connections of callers at most; 0 for half of the descriptors
        that the process may open, and at most twice ``max_requests``.
    :param stalled_after_ms: time without progress after which half of a request or an unread
        response gives way when memory or connections are short, in milliseconds.
    :param header_timeout_ms: longest time until the head of a request is complete, in milliseconds.
    :param idle_timeout_ms: how long a connection without a request is kept, in milliseconds.
    :param max_key_characters: longest request id or idempotency key, in characters.
    :param owners_per_service: owners of one service used at most, or twice as many by a node that
        sends many requests.
    :param max_owners_tried: owners tried after proven refusals.
    :param retry_budget_ratio: retries after dispatch, as a share of requests of a service.
    :param retry_budget_initial: retries after dispatch that a service may have at the start.
    :param fleet_retry_ratio: bound of the installation on the retries of all nodes together, as a
        share of the requests of a service; 0 for none.
    :param fleet_retry_slack: retries that the installation allows beyond that share; 0 for none.
    :param hedge_share: second copies of slow idempotent requests, as a share of the first attempts
        of a service; 0 for none.
    :param ejection_failures: consecutive failures that eject an owner.
    :param ejection_ms: length of the first ejection, in milliseconds; doubles up to 8 times.
    :param fence_timeout_ms: longest wait for the answer to a fence, in milliseconds.
    :param stream_silent_ms: silence after which a forward stream is replaced, in milliseconds.
    :param retry_after_ms: wait that callers are told after a refusal, in milliseconds.
    :param overload_retry_share: the same after a refusal for overload, as a share of the time that
        the caller has left, if that is longer.
    :param kill_after_ms: when the installation kills a process that was asked to end, in
        milliseconds; 0 for never.
    :param shutdown_ms: longest wait for work in flight at shutdown, in milliseconds.
    :param shutdown_serve_ms: how long a process that shuts down goes on taking work for its backend
        server, in milliseconds.
    :param shutdown_spread_ms: how long callers may go on sending to a node that shuts down, until
        all of them know, in milliseconds.
    """

    max_requests: int = 10_000
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    max_header_fields: int = 500
    caller_memory_bytes: int = 0
    max_caller_connections: int = 0
    stalled_after_ms: int = 1000
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    max_key_characters: int = 128
    owners_per_service: int = 12
    max_owners_tried: int = 3
    retry_budget_ratio: float = 0.1
    retry_budget_initial: float = 0.0
    fleet_retry_ratio: float = 0.0
    fleet_retry_slack: float = 0.0
    hedge_share: float = 0.0
    ejection_failures: int = 3
    ejection_ms: int = 1000
    fence_timeout_ms: int = 1000
    stream_silent_ms: int = 1500
    retry_after_ms: int = 1000
    overload_retry_share: float = 0.0
    kill_after_ms: int = 0
    shutdown_ms: int = 30_000
    shutdown_serve_ms: int = 0
    shutdown_spread_ms: int = 1500

    @property
    def longest_shutdown_ms(self) -> int:
        """Longest wait for work in flight that leaves time to end before the process is killed."""
        if not self.kill_after_ms:
            return self.shutdown_ms
        return min(self.shutdown_ms, max(0, self.kill_after_ms - PROCESS_END_MS))

    @property
    def drain_after_ms(self) -> int:
        """When a process that shuts down stops taking work for its backend server."""
        return max(0, min(self.shutdown_serve_ms, self.longest_shutdown_ms - LAST_WORK_MS))


@dataclass(frozen=True)
class QuotaSettings:
    """Section ``[quotas]``: limits of workspaces; without effect while no workspace has one.

    Shards, window, overage, slack, validity and lease must be the same at all nodes.

    :param window_ms: length of the window in which a quota holds, in milliseconds.
    :param overage: share by which a quota may be exceeded in a window.
    :param slack: requests by which it may be exceeded in addition.
    :param shards: groups of workspaces, each with one lender.
    :param lease_ms: lifetime of a lender's lease, in milliseconds.
    :param validity_ms: how long after its ask a token may be used, in milliseconds.
    :param wait_ms: longest wait of a request for a token, in milliseconds.
    """

    window_ms: int = 5000
    overage: float = 0.1
    slack: float = 20.0
    shards: int = 4
    lease_ms: int = 4000
    validity_ms: int = 500
    wait_ms: int = 250


@dataclass(frozen=True)
class NodeSettings:
    """All settings of a node.

    :param identity: section ``[node]``.
    :param store: section ``[store]``.
    :param distribution: section ``[distribution]``.
    :param membership: section ``[membership]``.
    :param admission: section ``[admission]``.
    :param requests: section ``[requests]``.
    :param access: section ``[access]``.
    :param quotas: section ``[quotas]``.
    :param address_translation: section ``[address_translation]``: pairs of the peer address that a
        node announces and the address that this node dials for it.
    """

    identity: IdentitySettings
    store: StoreSettings
    distribution: DistributionSettings = field(default_factory=DistributionSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    access: AccessSettings = field(default_factory=AccessSettings)
    quotas: QuotaSettings = field(default_factory=QuotaSettings)
    address_translation: tuple[tuple[str, str], ...] = ()
