"""What takes an owner's answer to one attempt."""

from __future__ import annotations

from typing import Protocol

from bamboonotch_node.backend import FlowControl, ResponseReceiver

__all__ = ["AttemptSink"]


class AttemptSink(ResponseReceiver, Protocol):
    """Takes what an owner says about one attempt."""

    def set_source(self, source: FlowControl) -> None:
        """Name the source to hold up when the response cannot be passed on.

        :param source: the source.
        """

    def discard(self) -> None:
        """Take nothing more; another sink takes the rest, or nobody does."""

    def refuse(self, not_run: bool, reason: str, load: int) -> None:
        """End the attempt without a response.

        :param not_run: whether it was provably not dispatched.
        :param reason: why, lower case with dashes.
        :param load: work in slots and queue at the owner.
        """
