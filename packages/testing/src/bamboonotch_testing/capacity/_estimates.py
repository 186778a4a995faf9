"""Extrapolates measured series to the size to build towards, for each role and worst minute."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bamboonotch_testing.capacity import _sizes as sizes
from bamboonotch_testing.capacity._events import REST_KEY
from bamboonotch_testing.capacity._fit import Series
from bamboonotch_testing.capacity._messages import ALL_RECORDS

__all__ = ["Estimate", "Inputs", "estimate_roles", "estimate_worst_minutes"]

# Intervals of the node, from its settings and from the code of relay slots and rendezvous.
WATCHES_PER_S = 1 / 2.5
RENEWALS_PER_S = 3 / 10
SLOT_REREADS_PER_S = 1 / 10
STAND_IN_REREADERS_PER_REGION = 2
DATA_CENTRES_OF_STORE_REGION = 3
# The command calls this many nodes at a time.
STATUS_CONCURRENCY = 32
CUT_HOURS = 1.0
HERD_UPDATES = 3
LINK_BYTES_PER_S = 30e6 / 8


@dataclass(frozen=True)
class Inputs:
    """What was measured.

    :param by_members: series over the number of members, by name.
    :param by_degree: series of real processes over the number of control streams, by name.
    :param ingress_call_ms: processor time of a call at the ingress, in milliseconds.
    :param owner_call_ms: processor time of a call at the owner, in milliseconds.
    :param status_ms: time of one status call, in milliseconds.
    :param relay_core_share: what a relay slot adds, as a share of a core.
    """

    by_members: Mapping[str, Series]
    by_degree: Mapping[str, Series]
    ingress_call_ms: float
    owner_call_ms: float
    status_ms: float
    relay_core_share: float

    def at_target(self, name: str) -> float:
        """Return a value at the target number of members.

        :param name: name of the series.
        """
        return self.by_members[name].at(sizes.MEMBERS)


@dataclass(frozen=True)
class Estimate:
    """One figure at the size to build towards.

    :param role: whose cost it is.
    :param quantity: what is estimated.
    :param value: the figure.
    :param limit: the limit, or ``None`` where none is stated.
    :param unit: unit of both.
    :param basis: how it follows from what was measured.
    """

    role: str
    quantity: str
    value: float
    limit: float | None
    unit: str
    basis: str

    @property
    def verdict(self) -> str:
        """``within``, ``OVER`` or a dash where no limit is stated."""
        if self.limit is None:
            return "-"
        return "within" if self.value <= self.limit else "OVER"


def _changes_per_s() -> tuple[float, float]:
    """Return member updates and versions, a second, averaged over a day."""
    updates = sizes.RESTARTS_PER_DAY * sizes.UPDATES_PER_RESTART / sizes.SECONDS_PER_DAY
    return updates, sizes.CHANGES_PER_DAY / sizes.SECONDS_PER_DAY


def _core_share(inputs: Inputs, degree: float) -> float:
    """Return the control share of a core of a node with a number of streams.

    Growth of the reducer with the members is added to what real processes of small fleets took;
    the streams that come with more members are in both terms, so it is an upper estimate.
    """
    rest = inputs.by_members[REST_KEY]
    growth_ms = rest.at(sizes.MEMBERS) - rest.values[0]
    updates, versions = _changes_per_s()
    busy_ms = updates * inputs.at_target("member update, drains (table rebuilt)")
    busy_ms += updates * (degree - 1) * inputs.at_target("member update, known already")
    busy_ms += versions * inputs.at_target("version push until it runs")
    return inputs.by_degree["core share"].fit.at(degree) + (growth_ms + busy_ms) / 1000


def _bytes_per_s(inputs: Inputs, degree: float) -> float:
    """Return the control bytes sent and received with a number of streams."""
    updates, versions = _changes_per_s()
    rest = inputs.by_degree["control bytes sent"].fit.at(degree)
    churn = updates * degree * inputs.at_target("MemberUpdate, one record")
    witnesses = 5 * (inputs.at_target("WitnessWrite") + inputs.at_target("WitnessAck"))
    version = versions * (degree * inputs.at_target("VersionPush") + witnesses)
    return 2 * (rest + churn + version)


def _node(role: str, inputs: Inputs, degree: float, extra_core: float = 0.0) -> list[Estimate]:
    core = _core_share(inputs, degree) + extra_core
    memory = inputs.by_degree["memory"].values[-1] + inputs.at_target("state")
    sent = _bytes_per_s(inputs, degree)
    basis = f"{degree:.0f} streams; line through processes at rest + reducer growth + daily changes"
    return [
        Estimate(role, "core share", core * 100, sizes.CORE_SHARE * 100, "%", basis),
        Estimate(role, "memory", memory, sizes.MEMORY_MB, "MB", "process + state, without load"),
        Estimate(
            role,
            "control bytes, both ways",
            sent,
            sizes.CONTROL_BYTES_PER_S,
            "B/s",
            "heartbeats at rest + daily changes, without TCP and IP",
        ),
    ]


def _requests(inputs: Inputs) -> list[Estimate]:
    per_node = sizes.CALLS_PER_S / sizes.MEMBERS
    owner = per_node * inputs.owner_call_ms / 10
    ingress = per_node * inputs.ingress_call_ms / 10
    basis = f"{per_node:.0f} calls/s a node, processor time of a real forwarded call"
    decision = inputs.at_target("request at ingress")
    return [
        Estimate("owner under load", "core share of calls", owner, None, "%", basis),
        Estimate("ingress", "core share of calls", ingress, None, "%", basis),
        Estimate("ingress + owner", "core share of calls", owner + ingress, 100.0, "%", basis),
        Estimate(
            "ingress", "decisions for a request", decision, sizes.LATENCY_MS, "ms", "reducer only"
        ),
        Estimate(
            "owner under load",
            "decisions for one work",
            inputs.at_target("work at owner"),
            sizes.LATENCY_MS,
            "ms",
            "reducer only",
        ),
        Estimate(
            "ingress and owner",
            "processor time of a call",
            inputs.ingress_call_ms + inputs.owner_call_ms,
            None,
            "ms",
            "not all of it is on the path of the call; the bench's latency measures the added time",
        ),
    ]


def _joiner(inputs: Inputs) -> list[Estimate]:
    start_ms = inputs.at_target("fleet learnt by a joiner")
    size = inputs.at_target(ALL_RECORDS) + inputs.at_target("SnapshotChunk")
    return [
        Estimate(
            "joiner",
            "processor time to serve",
            start_ms / 1000,
            sizes.CONVERGENCE_S,
            "s",
            "all records, snapshot, routing table; without process start",
        ),
        Estimate("joiner", "bytes to learn the fleet", size / 1000, None, "KB", "one full copy"),
    ]


def _store() -> list[Estimate]:
    slots = sizes.DATA_CENTRES * sizes.SLOTS_PER_DATA_CENTRE
    readers = DATA_CENTRES_OF_STORE_REGION * sizes.SLOTS_PER_DATA_CENTRE
    watching = 2 * readers * WATCHES_PER_S
    rereaders = slots + sizes.REGIONS * STAND_IN_REREADERS_PER_REGION
    lists = rereaders * SLOT_REREADS_PER_S
    basis = "intervals in the code, not measured at this size"
    return [
        Estimate("store", "reads and watches", watching, sizes.STORE_READS_PER_S, "1/s", basis),
        Estimate(
            "store",
            "lists of slots",
            lists,
            sizes.STORE_READS_PER_S,
            "1/s",
            f"{basis}; grows with data centres, not with nodes",
        ),
        Estimate(
            "store",
            "lease renewals",
            slots * RENEWALS_PER_S,
            sizes.STORE_WRITES_PER_S,
            "1/s",
            f"{basis}; each keyed order adds one write",
        ),
    ]


def _operator(inputs: Inputs) -> list[Estimate]:
    rounds_s = sizes.MEMBERS * inputs.status_ms / 1000
    return [
        Estimate(
            "operator's command",
            "one round of status calls",
            rounds_s,
            sizes.CONVERGENCE_S,
            "s",
            f"{sizes.MEMBERS} calls one after the other; the command makes "
            f"{STATUS_CONCURRENCY} at a time on one core, so between this and 1/32 of it",
        )
    ]


def estimate_roles(inputs: Inputs) -> tuple[Estimate, ...]:
    """Return the figures of each role.

    :param inputs: what was measured.
    """
    degree = inputs.at_target("streams of a node")
    gateway = inputs.at_target("streams of a gateway")
    found = _node("node at rest", inputs, degree)
    found += _node("relay in a data centre", inputs, degree, inputs.relay_core_share)
    found += _node("gateway of a region", inputs, gateway, inputs.relay_core_share)
    return (*found, *_requests(inputs), *_joiner(inputs), *_store(), *_operator(inputs))


def _spread(inputs: Inputs, name: str, updates: float, degree: float) -> list[Estimate]:
    """Estimate a number of member updates that reach every node over each of its streams."""
    known_ms = (degree - 1) * inputs.at_target("member update, known already")
    batched_ms = inputs.at_target("member update, dead, one of a batch") + known_ms
    single_ms = inputs.at_target("member update, drains (table rebuilt)") + known_ms
    size = updates * degree * inputs.at_target("MemberUpdate, one record")
    return [
        Estimate(
            name,
            "processor time of a node, updates in batches of 128",
            updates * batched_ms / 1000,
            sizes.CONVERGENCE_S,
            "s",
            f"{updates:.0f} updates over {degree:.0f} streams",
        ),
        Estimate(
            name,
            "processor time of a node, updates one by one",
            updates * single_ms / 1000,
            sizes.CONVERGENCE_S,
            "s",
            "each rebuilds the routing table",
        ),
        Estimate(name, "bytes received by a node", size / 1000, None, "KB", "one copy a stream"),
    ]


def estimate_worst_minutes(inputs: Inputs) -> tuple[Estimate, ...]:
    """Return the figures of the worst minutes.

    :param inputs: what was measured.
    """
    degree = inputs.at_target("streams of a node")
    lost = sizes.MEMBERS / sizes.DATA_CENTRES
    found = _spread(inputs, "data centre lost", 2 * lost, degree)
    found += _spread(inputs, "whole fleet returns at once", HERD_UPDATES * sizes.MEMBERS, degree)
    crossing = HERD_UPDATES * sizes.MEMBERS * inputs.at_target("MemberUpdate, one record")
    found.append(
        Estimate(
            "whole fleet returns at once",
            "time on one inter-region link",
            crossing / LINK_BYTES_PER_S,
            sizes.CONVERGENCE_S,
            "s",
            "every record crosses once for each update at 30 Mbit/s",
        )
    )
    versions = sizes.CHANGES_PER_DAY * CUT_HOURS / 24
    updates = sizes.RESTARTS_PER_DAY * sizes.UPDATES_PER_RESTART * CUT_HOURS / 24
    name = "regions heal after an hour"
    found.append(
        Estimate(
            name,
            "processor time of the versions missed",
            versions * inputs.at_target("version push until it runs") / 1000,
            sizes.CONVERGENCE_S,
            "s",
            f"{versions:.0f} versions, each run in turn",
        )
    )
    found += _spread(inputs, name, updates, degree)
    return tuple(found)
