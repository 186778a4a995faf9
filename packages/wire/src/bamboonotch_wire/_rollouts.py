"""Conversion of the messages of roll-outs to and from their protobuf encoding."""

from __future__ import annotations

import math
from typing import Any

from bamboonotch_core.errors import MessageError
from bamboonotch_core.rollout_messages import (
    RolloutCounts,
    RolloutGrant,
    RolloutOrder,
    RolloutPlan,
    RolloutStatus,
    RouteCounts,
)
from bamboonotch_wire import bamboonotch_pb2 as pb

__all__ = ["decode_counts", "decode_plan", "encode_counts", "encode_plan"]

MAX_TEXT_CHARACTERS = 300
MAX_ITEMS = 4096
STATES = frozenset(
    {
        RolloutStatus.PENDING,
        RolloutStatus.RUNNING,
        RolloutStatus.COMPLETED,
        RolloutStatus.ROLLED_BACK,
    }
)


def _checked(name: str, value: str) -> str:
    if len(value) > MAX_TEXT_CHARACTERS:
        raise MessageError(f"field {name} is longer than {MAX_TEXT_CHARACTERS} characters")
    return value


def _check_count(name: str, items: Any) -> Any:
    if len(items) > MAX_ITEMS:
        raise MessageError(f"field {name} has more than {MAX_ITEMS} items")
    return items


def encode_plan(plan: RolloutPlan) -> pb.ControlFrame:
    """Encode a plan."""
    order = plan.order
    grants = [
        pb.RolloutGrant(
            node_id=item.node_id, incarnation=item.incarnation, allowance=item.allowance
        )
        for item in plan.grants
    ]
    return pb.ControlFrame(
        rollout_plan=pb.RolloutPlan(
            service=order.service,
            target_version=order.target_version,
            duration_ms=order.duration_ms,
            order_revision=order.revision,
            order_created=order.created,
            epoch=order.epoch,
            number=plan.number,
            state=plan.state,
            share=plan.share,
            granted=plan.granted,
            elapsed_ms=plan.elapsed_ms,
            barred=plan.barred,
            grants=grants,
            stopping=plan.stopping,
        )
    )


def decode_plan(body: Any) -> RolloutPlan:
    """Decode a plan.

    :raises MessageError: when a field is malformed or exceeds its limit.
    """
    if body.state not in STATES:
        raise MessageError(f"state {body.state!r:.66} of a roll-out is not known")
    # Written so that a value that is not a number is refused as well.
    if not 0 <= body.share <= 1 or not 0 <= body.elapsed_ms < math.inf:
        raise MessageError("share or elapsed_ms of a roll-out is out of range")
    if not body.service:
        raise MessageError("field service of a roll-out is empty")
    order = RolloutOrder(
        service=_checked("service", body.service),
        target_version=_checked("target_version", body.target_version),
        duration_ms=body.duration_ms,
        revision=body.order_revision,
        epoch=body.epoch,
        created=body.order_created,
    )
    return RolloutPlan(
        order=order,
        number=body.number,
        state=body.state,
        share=body.share,
        granted=body.granted,
        elapsed_ms=body.elapsed_ms,
        barred=tuple(_checked("barred", item) for item in _check_count("barred", body.barred)),
        grants=tuple(
            RolloutGrant(_checked("node_id", item.node_id), item.incarnation, item.allowance)
            for item in _check_count("grants", body.grants)
        ),
        stopping=body.stopping,
    )


def encode_counts(counts: RolloutCounts) -> pb.ControlFrame:
    """Encode the counts of an owner."""
    routes = [
        pb.RouteCounts(
            route=item.route,
            failures=item.failures,
            latencies=[
                pb.LatencyCount(bucket=bucket, responses=responses)
                for bucket, responses in item.latencies
            ],
        )
        for item in counts.routes
    ]
    return pb.ControlFrame(
        rollout_counts=pb.RolloutCounts(
            node_id=counts.node_id,
            incarnation=counts.incarnation,
            number=counts.number,
            service=counts.service,
            order_key=counts.order_key,
            software_version=counts.software_version,
            arrivals=counts.arrivals,
            running=counts.running,
            ready=counts.ready,
            routes=routes,
        )
    )


def _decode_route(body: Any) -> RouteCounts:
    latencies = _check_count("latencies", body.latencies)
    return RouteCounts(
        _checked("route", body.route),
        body.failures,
        tuple((item.bucket, item.responses) for item in latencies),
    )


def decode_counts(body: Any) -> RolloutCounts:
    """Decode the counts of an owner.

    :raises MessageError: when a field is malformed or exceeds its limit.
    """
    if not body.node_id or not body.service:
        raise MessageError("counts of a roll-out name no node or service")
    return RolloutCounts(
        node_id=_checked("node_id", body.node_id),
        incarnation=body.incarnation,
        number=body.number,
        service=_checked("service", body.service),
        order_key=_checked("order_key", body.order_key),
        software_version=_checked("software_version", body.software_version),
        arrivals=body.arrivals,
        running=body.running,
        ready=body.ready,
        routes=tuple(_decode_route(item) for item in _check_count("routes", body.routes)),
    )
