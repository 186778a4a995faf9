"""What this node knows of restores of the source.

A source that was restored from a copy begins a new epoch. It has lost what was written since the
copy, and gives the revisions after it out again.
"""

from __future__ import annotations

from bamboonotch_core.documents._step import Step

__all__ = ["note_store_epoch"]


def note_store_epoch(step: Step, epoch: int, revision: int, node_id: str) -> None:
    """Take note of the epoch of the source.

    :param epoch: the epoch; 0 if it is not stated.
    :param revision: revision of the source in that epoch; 0 if it is not known.
    :param node_id: the peer that stated the epoch, or empty for the source.
    """
    before = step.state.store_epoch
    if epoch <= before:
        return
    step.update(store_epoch=epoch)
    if not before:
        return
    step.report(
        "store-restored",
        epoch_before=before,
        epoch=epoch,
        revision_before=step.state.confirmation.revision,
        revision=revision,
        held_version=step.state.held_version,
        peer=node_id,
    )
