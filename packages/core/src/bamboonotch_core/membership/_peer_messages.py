"""Handling of each type of message from a peer."""

from __future__ import annotations

from functools import singledispatch

from bamboonotch_core.membership._detection import hear_suspicion
from bamboonotch_core.membership._exchange import answer_request, compare_digests, hear_heartbeat
from bamboonotch_core.membership._merge import merge_record
from bamboonotch_core.membership._state import Link
from bamboonotch_core.membership._validation import find_record_fault, find_suspicion_fault
from bamboonotch_core.membership._work import Work
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
def handle_message(message: Message, work: Work, link: Link) -> None:
    """Handle one message; messages of other parts need nothing here.

    :param message: the message.
    :param work: the event being handled.
    :param link: the link that it came from.
    """


@handle_message.register
def _(message: Heartbeat, work: Work, link: Link) -> None:
    hear_heartbeat(work, link, message)


@handle_message.register
def _(message: MemberUpdate, work: Work, link: Link) -> None:
    for record in message.records:
        fault = find_record_fault(record)
        if fault:
            work.report("record-refused", peer=link.peer.node_id, reason=fault)
        else:
            merge_record(work, record, link)


@handle_message.register
def _(message: MemberDigests, work: Work, link: Link) -> None:
    compare_digests(work, link, message)


@handle_message.register
def _(message: MemberRequest, work: Work, link: Link) -> None:
    answer_request(work, link, message)


@handle_message.register
def _(message: Suspicion, work: Work, link: Link) -> None:
    fault = find_suspicion_fault(message)
    if fault:
        work.report("suspicion-refused", peer=link.peer.node_id, reason=fault)
    else:
        hear_suspicion(work, message, link)
