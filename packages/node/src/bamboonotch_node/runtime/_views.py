"""Answers of the admin interface, read from the state."""

from __future__ import annotations

import contextlib
import dataclasses
from collections import Counter
from functools import singledispatch
from typing import Any

from bamboonotch_core.configuration import decode_entry
from bamboonotch_core.distribution import DistributionState
from bamboonotch_core.documents import DocumentState
from bamboonotch_core.errors import BamboonotchError
from bamboonotch_core.member_record import MemberRecord
from bamboonotch_core.membership import (
    backend_server_address,
    find_member,
    is_draining,
    neighbours,
    own_record,
)
from bamboonotch_core.quotas import shard_of
from bamboonotch_core.routing import explain_route
from bamboonotch_core.state import NodeState

__all__ = [
    "accepted_at_unix_ms",
    "count_members",
    "count_quotas",
    "describe_members",
    "describe_request",
    "describe_status",
    "describe_version",
]


def _plain(value: Any) -> Any:
    """Return a value made of dictionaries, lists and JSON scalars."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _plain(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple | list | frozenset | set):
        return [_plain(item) for item in value]
    return getattr(value, "value", value)


def _describe_record(record: MemberRecord) -> dict[str, Any]:
    plain: dict[str, Any] = _plain(record)
    return plain


def count_quotas(state: NodeState) -> tuple[dict[int, int], ...]:
    """Return by shard: tokens lent, requests refused, requests waiting, and whether it is held.

    :param state: the state.
    :returns: nothing for a shard without any of these, while no workspace has a limit.
    """
    quotas, lender = state.outcomes.quotas, state.quota.lender
    shards = state.outcomes.settings.quotas.shards
    waiting: Counter[int] = Counter()
    held: dict[int, int] = {}
    if state.quota.limited:
        waiting.update(dict.fromkeys(range(shards), 0))
        held = {shard: int(shard in lender.shards) for shard in range(shards)}
    for name, known in quotas.tokens.items():
        if known.waiting:
            waiting[shard_of(name, shards)] += len(known.waiting)
    return dict(lender.granted), dict(quotas.refused), waiting, held


@singledispatch
def superseding_version(distribution: DistributionState | DocumentState) -> int:
    """Return the newer version that was refused, or 0 if the held one is not known to be old.

    :param distribution: the part that follows versions.
    """
    return 0


@superseding_version.register
def _(distribution: DocumentState) -> int:
    return distribution.refused_version if distribution.is_superseded else 0


def describe_status(state: NodeState) -> dict[str, Any]:
    """Return the node's status.

    :param state: the state.
    """
    distribution = state.distribution
    record = own_record(state.membership)
    return {
        "node_id": record.node_id,
        "incarnation": record.incarnation,
        "region": record.region,
        "data_centre": record.data_centre,
        "held_version": distribution.held_version,
        "running_version": distribution.running_version,
        "superseded_by": superseding_version(distribution),
        "serving": distribution.serving,
        "reason": distribution.not_serving_reason,
        "service": record.service,
        "state": record.state.value,
        "draining": is_draining(state.membership),
        "shutting_down": state.shutdown_deadline_ms is not None,
        "backend_server_address": backend_server_address(state.membership),
        "relay_slot": record.relay_slot,
        "members_known": len(state.membership.directory.records),
        "neighbours": [link.node_id for link in neighbours(state.membership)],
        "store_reachable": distribution.store_reachable,
        "store_reader": state.view.is_store_reader,
        "requests_in_progress": len(state.outcomes.requests),
    }


def describe_members(state: NodeState) -> list[dict[str, Any]]:
    """Return every member record known.

    :param state: the state.
    """
    records = state.membership.directory.records
    return [_describe_record(records[node_id]) for node_id in sorted(records)]


def count_members(state: NodeState) -> dict[str, int]:
    """Count the members by state.

    :param state: the state.
    """
    records = state.membership.directory.records.values()
    return dict(Counter(record.state.value for record in records))


def describe_version(state: NodeState) -> dict[str, Any]:
    """Explain why this node runs the version that it runs.

    :param state: the state.
    """
    return _describe_version(state.distribution, state)


@singledispatch
def _describe_version(
    distribution: DistributionState | DocumentState, state: NodeState
) -> dict[str, Any]:
    """Explain the running version, by the type of the part that follows versions."""
    raise TypeError(f"no description of {type(distribution).__name__}")


@_describe_version.register
def _(distribution: DocumentState, state: NodeState) -> dict[str, Any]:
    return {
        "held_version": distribution.held_version,
        "running_version": distribution.running_version,
        "serving": distribution.serving,
        "reason": distribution.not_serving_reason,
        "source": {"kind": distribution.source, "node_id": distribution.source_node_id},
        "superseded_by": superseding_version(distribution),
        "refused": list(distribution.refused),
        "store_reachable": distribution.store_reachable,
        "neighbour_versions": {
            link.node_id: distribution.peer_versions[link.link_id]
            for link in neighbours(state.membership)
            if link.link_id in distribution.peer_versions
        },
    }


@_describe_version.register
def _(distribution: DistributionState, state: NodeState) -> dict[str, Any]:
    candidate = distribution.candidate
    return {
        "held_version": distribution.held_version,
        "running_version": distribution.running_version,
        "serving": distribution.serving,
        "reason": distribution.not_serving_reason,
        "source": _plain(distribution.held_source),
        "start_proof": distribution.proof,
        "waiting_for_witnesses_of": None if candidate is None else candidate.version,
        "refused": [list(item) for item in distribution.refused],
        "store_reachable": distribution.store_reachable,
        "neighbour_versions": {
            link.node_id: peer.held_version
            for link in neighbours(state.membership)
            if (peer := distribution.peers.get(link.link_id)) is not None
        },
    }


@singledispatch
def accepted_at_unix_ms(
    distribution: DistributionState | DocumentState, version: int
) -> int | None:
    """Return when a version was accepted, in milliseconds since 1970, if that is known.

    :param distribution: the part that follows versions.
    :param version: the version.
    """
    return None


@accepted_at_unix_ms.register
def _(distribution: DistributionState, version: int) -> int | None:
    data = distribution.entries.get(version)
    if data is None:
        return None
    with contextlib.suppress(BamboonotchError):
        return decode_entry(data).accepted_at_unix_ms
    return None


def describe_request(state: NodeState, method: str, path: str, now_ms: float) -> dict[str, Any]:
    """Explain where a request would go.

    :param state: the state.
    :param method: HTTP method.
    :param path: request path.
    :param now_ms: monotonic clock, in milliseconds.
    """
    outcomes = state.outcomes
    explanation = explain_route(
        state.table,
        method,
        path,
        outcomes.settings,
        outcomes.views,
        now_ms,
        subset_sizes=outcomes.subset_sizes,
    )
    plain: dict[str, Any] = _plain(explanation)
    for owner in plain.get("owners", []):
        record = find_member(state.membership, owner.get("node_id", ""))
        if record is not None:
            owner["state"] = record.state.value
    return plain
