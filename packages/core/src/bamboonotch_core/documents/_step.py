"""Changes and effects of one event, collected within one call of the reducer."""

from __future__ import annotations

from functools import cached_property

from bamboonotch_core.configuration import Configuration, Document
from bamboonotch_core.distribution import MembershipView, Neighbour
from bamboonotch_core.documents._state import DocumentState
from bamboonotch_core.effects import Effect, Report, SendMessage
from bamboonotch_core.messages import Message
from bamboonotch_core.replace import replace_fields

__all__ = ["Step"]

MAX_REFUSED_VERSIONS = 64
MAX_REASON_CHARACTERS = 500


class Step:
    """Changes and effects of one event, used within one call of the reducer only.

    :param state: the state before the event.
    :param view: the membership after the event.
    :param now_ms: monotonic clock, in milliseconds.
    :param echo_sent_ms: when this node sent the heartbeat that the received one echoes, in
        milliseconds, or ``None``.
    """

    def __init__(
        self,
        state: DocumentState,
        view: MembershipView,
        now_ms: float,
        echo_sent_ms: float | None,
    ) -> None:
        self.state = state
        self.now_ms = now_ms
        self.echo_sent_ms = echo_sent_ms
        self.effects: list[Effect] = []
        self._view = view
        self.misses_store_reader = view.misses_store_reader
        self.is_store_reader = view.is_store_reader
        self.reader_share = view.reader_share

    @property
    def has_links(self) -> bool:
        """Whether any peer is linked."""
        return bool(self._view.neighbours)

    @cached_property
    def links(self) -> dict[str, Neighbour]:
        """The linked peers by link id."""
        return {item.link_id: item for item in self._view.neighbours}

    @property
    def held(self) -> tuple[Document, Configuration]:
        """The held document with its typed values."""
        return self.state.held_document, self.state.running_configuration

    def update(self, **changes: object) -> None:
        """Replace fields of the state."""
        self.state = replace_fields(self.state, **changes)  # type: ignore[arg-type]

    def update_reading(self, **changes: object) -> None:
        """Replace fields of the read in progress."""
        self.update(reading=replace_fields(self.state.reading, **changes))  # type: ignore[arg-type]

    def report(self, name: str, **fields: str | int | float | bool) -> None:
        """Report an event to the operator's log."""
        self.effects.append(Report(name, tuple(fields.items())))

    def send(self, link_id: str, message: Message) -> None:
        """Send a message to a peer."""
        self.effects.append(SendMessage(link_id, message))

    def refuse_version(self, version: int, node_id: str, error: Exception) -> None:
        """Report an invalid version once.

        :param node_id: the peer that sent it, or empty for the store.
        """
        self.note_refused(version, node_id)
        if version in self.state.refused:
            return
        self.update(refused=(*self.state.refused, version)[-MAX_REFUSED_VERSIONS:])
        reason = str(error)[:MAX_REASON_CHARACTERS]
        self.report("version-refused", version=version, peer=node_id, reason=reason)

    def note_refused(self, version: int, node_id: str) -> None:
        """Take note of a version that exists and was refused, here or by a peer.

        What confirms that version, or that none is newer, does not confirm the held one any more.

        :param node_id: the peer that stated it, or empty.
        """
        if version <= self.state.newest_version:
            return
        if not self.state.is_superseded:
            self.update(superseded_confirmed_ms=self.state.confirmation.confirmed_ms)
        self.update(refused_version=version)
        held_version = self.state.held_version
        self.report("version-superseded", version=held_version, by=version, peer=node_id)

    def hold(
        self,
        version: int,
        document: Document,
        configuration: Configuration,
        source: str,
        node_id: str,
    ) -> None:
        """Run a version that is newer than the held one.

        :param source: ``store`` or ``peer``.
        :param node_id: the peer that sent it, or empty for the store.
        """
        before = self.state.held_version
        self.update(
            held_version=version,
            held_document=document,
            running_configuration=configuration,
            serving=True,
            not_serving_reason="",
            source=source,
            source_node_id=node_id,
            held_ms=self.now_ms,
            behind_since_ms=None,
        )
        self.report("version-running", version=version, before=before, source=source, peer=node_id)
