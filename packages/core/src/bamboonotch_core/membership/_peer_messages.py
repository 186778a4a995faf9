"""Dispatch of the messages from peers by type."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.membership._detection import handle_suspicion
from bamboonotch_core.membership._exchange import answer_request, compare_digests, handle_heartbeat
from bamboonotch_core.membership._merge import merge_record
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import find_record_fault, find_suspicion_fault
from bamboonotch_core.membership._work import Step
from bamboonotch_core.messages import (
    Heartbeat,
    MemberDigests,
    MemberRequest,
    MemberUpdate,
    Message,
    Suspicion,
)

__all__ = ["handle_message"]


@singledispatch
def handle_message(message: Message, step: Step, link: Link) -> None:
    """Handle one message; ignore the types that do not concern membership.

    :param link: the link that the message came from.
    """


@handle_message.register
def _(message: Heartbeat, step: Step, link: Link) -> None:
    handle_heartbeat(step, link, message)


@handle_message.register
def _(message: MemberUpdate, step: Step, link: Link) -> None:
    for record in message.records:
        fault = find_record_fault(record)
        if fault:
            step.report("record-refused", peer=link.peer.node_id, reason=fault)
        else:
            merge_record(step, record, link)


@handle_message.register
def _(message: MemberDigests, step: Step, link: Link) -> None:
    compare_digests(step, link, message)


@handle_message.register
def _(message: MemberRequest, step: Step, link: Link) -> None:
    answer_request(step, link, message)


@handle_message.register
def _(message: Suspicion, step: Step, link: Link) -> None:
    fault = find_suspicion_fault(message)
    if fault:
        step.report("suspicion-refused", peer=link.peer.node_id, reason=fault)
    else:
        handle_suspicion(step, message, link)
