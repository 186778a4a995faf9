"""What this node knows of restores of the source.

A source that was restored from a copy begins a new epoch. It has lost what was written since the
copy, and gives the revisions after it out again. So a revision, and the confirmation as of one,
hold only within an epoch. Documents are ordered by their versions and hold in every epoch.
"""

from __future__ import annotations

from immutables import Map

from bamboonotch_core.documents._state import Confirmation, DocumentReading
from bamboonotch_core.documents._step import Step
from bamboonotch_core.effects import RegisterAgain
from bamboonotch_core.messages import VersionAnnounce

__all__ = ["note_store_epoch"]


def note_store_epoch(step: Step, epoch: int, revision: int, node_id: str) -> None:
    """Take note of the epoch of the source, and drop what was known of an earlier one.

    The neighbours hear of a restore at once: their entries in the source are due again.

    :param epoch: the epoch; 0 if it is not stated.
    :param revision: revision of the source in that epoch; 0 if it is not known.
    :param node_id: the peer that stated the epoch, or empty for the source.
    """
    before = step.state.store_epoch
    if epoch <= before:
        return
    step.update(store_epoch=epoch)
    step.effects.append(RegisterAgain(epoch))
    if not before:
        # A revision from a peer that states no epoch may be of an earlier one.
        confirmation = Confirmation(0, step.state.confirmation.confirmed_ms)
        step.update(confirmation=confirmation)
        return
    _report_restore(step, before, revision, node_id)
    if step.state.confirmation.confirmed_ms is not None:
        step.update(confirmation=Confirmation(), restored_ms=step.now_ms)
    step.update(superseded_confirmed_ms=None)
    step.update(peer_statements=Map())
    # A watch in progress waits after a revision of the former epoch.
    step.update(reading=DocumentReading())
    for link_id in step.links:
        step.send(link_id, VersionAnnounce(step.state.held_version, epoch))


def _report_restore(step: Step, before: int, revision: int, node_id: str) -> None:
    step.report(
        "store-restored",
        epoch_before=before,
        epoch=step.state.store_epoch,
        revision_before=step.state.confirmation.revision,
        revision=revision,
        held_version=step.state.held_version,
        peer=node_id,
    )
