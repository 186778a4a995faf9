"""What callers, backend servers and the operator saw in one run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from bamboonotch_testing.platform_backend import Arrival, Run

__all__ = ["OBSERVER", "STORE", "CallRecord", "Ending", "Record", "Span"]

STORE = "store"
# The process that makes the record; what it sees late need not have come late.
OBSERVER = "observer"


class Ending(Enum):
    """How a call ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut"  # the connection ended without a complete answer
    NOT_SENT = "not-sent"  # no connection
    LEFT = "left"  # the caller closed the connection


@dataclass
class CallRecord:
    """One call.

    :param request_id: its id.
    :param node: number of the node that took it.
    :param life: how many times that node had been started.
    :param kind: name of the rule that it matches.
    :param method: HTTP method.
    :param path: path with query.
    :param body: request body.
    :param remaining_ms: time that the caller waits, in milliseconds.
    :param sent_s: when it was sent, on the monotonic clock, in seconds.
    :param ended_s: when it ended.
    :param ending: how it ended.
    :param status: HTTP status of the answer.
    :param answer_id: request id that the answer names.
    :param signature: signature of the answer.
    :param answer_body: body of the answer.
    """

    request_id: str
    node: int
    life: int
    kind: str
    method: str
    path: str
    body: bytes
    remaining_ms: int
    sent_s: float
    ended_s: float = 0.0
    ending: Ending = Ending.OPEN
    status: int = 0
    answer_id: str = ""
    signature: str = ""
    answer_body: bytes = b""


@dataclass
class Span:
    """A time in which something was disturbed.

    :param target: the store, the observer or the number of a node, as text.
    :param what: what happened.
    :param planned: whether it is planned work, such as a SIGTERM.
    :param started_s: its start, on the monotonic clock, in seconds.
    :param ended_s: its end; infinite while it lasts.
    """

    target: str
    what: str
    planned: bool
    started_s: float
    ended_s: float = float("inf")

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Tell whether it lasts at some moment of a span of time.

        :param start_s: start of the span.
        :param end_s: end of the span.
        """
        return self.started_s <= end_s and self.ended_s >= start_s


@dataclass
class Record:
    """Everything that the checks need.

    :param services: service of each node's backend server, by number of the node.
    :param spans: disturbances.
    :param calls: calls by id.
    :param runs: runs of each request, as pairs of the backend server's node and the run.
    :param arrivals: arrivals at backend servers, as pairs of the node's number and the arrival.
    :param versions: when each version was written, by number.
    :param leaving: when the leaving of a backend server was acknowledged, or when a caller had a
        response that says it, by its process.
    :param ends: processes that ended by themselves, and those that did not end in time.
    :param healed_s: when the last fault ended.
    :param worst_stall_ms: longest time in which the observing process did not run.
    """

    services: tuple[str, ...]
    spans: list[Span] = field(default_factory=list)
    calls: dict[str, CallRecord] = field(default_factory=dict)
    runs: dict[str, list[tuple[int, Run]]] = field(default_factory=lambda: defaultdict(list))
    arrivals: list[tuple[int, Arrival]] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    ends: list[str] = field(default_factory=list)
    healed_s: float = 0.0
    worst_stall_ms: float = 0.0

    def is_calm(
        self, target: int | str, start_s: float, end_s: float, planned: bool = True
    ) -> bool:
        """Tell whether nothing disturbed a target or the observer in a span of time.

        :param target: the store or a node.
        :param start_s: start of the span.
        :param end_s: end of the span.
        :param planned: whether planned work counts as well.
        """
        return not any(
            span.target in (str(target), OBSERVER)
            and (planned or not span.planned)
            and span.overlaps(start_s, end_s)
            for span in self.spans
        )

    def is_quiet(self, start_s: float, end_s: float) -> bool:
        """Tell whether nothing unplanned happened anywhere.

        :param start_s: start of the span.
        :param end_s: end of the span.
        """
        return not any(not span.planned and span.overlaps(start_s, end_s) for span in self.spans)
