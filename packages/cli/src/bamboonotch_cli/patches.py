"""Work of the commands submit and fate."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from bamboonotch_cli.results import AcceptedPatch
from bamboonotch_cli.session import Session
from bamboonotch_core.configuration import parse_patch
from bamboonotch_core.errors import ConfigurationFault, PatchError, StoreError
from bamboonotch_store.acceptance import (
    Accepted,
    PatchAcceptance,
    RejectedInvalid,
    Submission,
)

__all__ = ["SubmitOptions", "read_fate", "submit_patch"]


@dataclass(frozen=True)
class SubmitOptions:
    """Options of the command submit.

    :param base_version: version that the patch builds on.
    :param patch_id: unique id of the submission.
    :param author: who submits it.
    :param comment: why.
    :param text: content of the patch file.
    """

    base_version: int
    patch_id: str
    author: str
    comment: str
    text: bytes


def _read_unix_ms() -> int:
    return time.time_ns() // 1_000_000


async def submit_patch(session: Session, options: SubmitOptions) -> Any:
    """Submit a patch and write the snapshot if one is due.

    :param session: the session.
    :param options: the options.
    """
    try:
        patch = parse_patch(options.text)
    except PatchError as error:
        return RejectedInvalid((ConfigurationFault("", str(error)),))
    submission = Submission(
        options.patch_id, options.base_version, patch, options.author, options.comment
    )
    acceptance = PatchAcceptance(await session.open_log(), session.reactor, _read_unix_ms)
    outcome = await acceptance.submit(submission)
    if not isinstance(outcome, Accepted):
        return outcome
    try:
        await acceptance.write_due_snapshot(outcome.entry.version)
    except StoreError as error:
        return AcceptedPatch(outcome.entry, str(error))
    return AcceptedPatch(outcome.entry)


async def read_fate(session: Session, base_version: int, patch_id: str) -> Any:
    """Tell what became of a patch.

    :param session: the session.
    :param base_version: version that the patch builds on.
    :param patch_id: id of the patch.
    """
    acceptance = PatchAcceptance(await session.open_log(), session.reactor, _read_unix_ms)
    fate = await acceptance.read_fate(patch_id, base_version)
    return AcceptedPatch(fate.entry) if isinstance(fate, Accepted) else fate
