"""Route lookup, and the choice of the owner that a request is sent to."""

from bamboonotch_core.routing._candidates import CandidateSet, Distance, select_candidates
from bamboonotch_core.routing._choice import (
    Eligibility,
    OwnerChoice,
    OwnerRating,
    choose_owner,
    rate_candidates,
)
from bamboonotch_core.routing._costs import UNKNOWN_WORK, WorkEstimate, record_work
from bamboonotch_core.routing._explain import (
    ConsideredRoute,
    ExplainedOwner,
    RouteExplanation,
    explain_route,
)
from bamboonotch_core.routing._owner_view import (
    OwnerView,
    Verdict,
    ViewChange,
    count_ejected,
    has_no_room,
    record_end,
    record_forward,
    record_load,
    record_no_room,
    record_refusal,
    record_service_time,
    view_of,
)
from bamboonotch_core.routing._random import draw_below, next_seed
from bamboonotch_core.routing._table import (
    NOT_SERVING_TABLE,
    NoMatch,
    NoMatchReason,
    Owner,
    RouteMatch,
    RoutingTable,
    ServiceOwners,
    build_routing_table,
    match_route,
)

__all__ = [
    "NOT_SERVING_TABLE",
    "CandidateSet",
    "ConsideredRoute",
    "Distance",
    "Eligibility",
    "ExplainedOwner",
    "NoMatch",
    "NoMatchReason",
    "Owner",
    "OwnerChoice",
    "OwnerRating",
    "OwnerView",
    "RouteExplanation",
    "RouteMatch",
    "RoutingTable",
    "ServiceOwners",
    "UNKNOWN_WORK",
    "WorkEstimate",
    "Verdict",
    "ViewChange",
    "build_routing_table",
    "choose_owner",
    "count_ejected",
    "draw_below",
    "explain_route",
    "has_no_room",
    "match_route",
    "next_seed",
    "rate_candidates",
    "record_end",
    "record_forward",
    "record_work",
    "record_load",
    "record_no_room",
    "record_refusal",
    "record_service_time",
    "select_candidates",
    "view_of",
]
