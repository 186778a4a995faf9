"""Submission of patches and their fate.

A patch that names base n can only become version n+1, and the creation of that version's log
entry is the decision. So the fate of a patch is read from one key, and submitting the same patch
id again is safe at any time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import deferLater

from bamboonotch_core.configuration import (
    Difference,
    LogEntry,
    Patch,
    decode_entry,
    diff_documents,
    encode_entry,
    make_entry,
)
from bamboonotch_core.errors import (
    ConfigurationError,
    ConfigurationFault,
    LogEntryError,
    PatchError,
    StoreError,
)
from bamboonotch_core.settings import DistributionSettings
from bamboonotch_store.errors import VersionAbsentError
from bamboonotch_store.log import MAX_VERSION, VersionLog, VersionState, entry_key

__all__ = [
    "SNAPSHOT_INTERVAL_VERSIONS",
    "Accepted",
    "Fate",
    "NotAccepted",
    "Outcome",
    "PatchAcceptance",
    "RejectedInvalid",
    "RejectedStale",
    "Submission",
    "SubmissionUnknown",
]

SNAPSHOT_INTERVAL_VERSIONS = DistributionSettings.snapshot_interval_versions
WRITE_ATTEMPTS = 3
RETRY_DELAY_MS = 200


@dataclass(frozen=True)
class Submission:
    """A patch to submit.

    :param patch_id: unique id; the same for each repeat of this submission.
    :param base_version: version that the patch builds on.
    :param patch: operations of RFC 6902.
    :param author: who submits it.
    :param comment: why.
    """

    patch_id: str
    base_version: int
    patch: Patch
    author: str
    comment: str


@dataclass(frozen=True)
class Accepted:
    """The patch became a version.

    :param entry: its log entry.
    """

    entry: LogEntry


@dataclass(frozen=True)
class RejectedStale:
    """Another patch became the next version of the base; this one is rejected for good.

    :param winner: log entry of the other patch.
    :param newest_version: newest version read, or ``None`` when it could not be read.
    :param differences: changes since the base, or ``None`` when they could not be read.
    """

    winner: LogEntry
    newest_version: int | None
    differences: tuple[Difference, ...] | None


@dataclass(frozen=True)
class RejectedInvalid:
    """The patch does not apply to its base or leaves a document with faults.

    :param faults: each fault.
    """

    faults: tuple[ConfigurationFault, ...]


@dataclass(frozen=True)
class SubmissionUnknown:
    """The write may have taken effect, or may still do so.

    :param patch_id: id of the patch.
    :param base_version: its base; both are needed to ask for its fate.
    :param reason: why it is not known.
    """

    patch_id: str
    base_version: int
    reason: str


@dataclass(frozen=True)
class NotAccepted:
    """No patch has become the next version of the base so far.

    :param patch_id: id of the patch.
    :param base_version: its base.
    """

    patch_id: str
    base_version: int


Outcome = Accepted | RejectedStale | RejectedInvalid | SubmissionUnknown
"""Result of a submission."""

Fate = Accepted | RejectedStale | NotAccepted
"""What the store says of an earlier submission."""


def _reject(message: str) -> RejectedInvalid:
    return RejectedInvalid((ConfigurationFault("", message),))


def _check_same_patch(fate: Accepted | RejectedStale, submission: Submission) -> Outcome:
    """Reject a patch id that was accepted with another patch, as that one is in force."""
    if isinstance(fate, RejectedStale) or fate.entry.patch == submission.patch:
        return fate
    return _reject(
        f"patch id {submission.patch_id} was accepted with another patch as version "
        f"{fate.entry.version}; use a new patch id"
    )


def _prepare(
    base: VersionState, submission: Submission, now_unix_ms: int
) -> tuple[LogEntry, bytes] | RejectedInvalid:
    """Apply and validate a patch and encode the entry as every node will decode it."""
    try:
        entry, _ = make_entry(
            base.version,
            base.document,
            submission.patch,
            patch_id=submission.patch_id,
            author=submission.author,
            comment=submission.comment,
            now_unix_ms=now_unix_ms,
        )
        data = encode_entry(entry)
        decode_entry(data)
    except ConfigurationError as error:
        return RejectedInvalid(error.faults)
    except (LogEntryError, PatchError) as error:
        return _reject(str(error))
    except UnicodeEncodeError:
        return _reject("patch, author or comment holds text that UTF-8 cannot encode")
    return entry, data


class PatchAcceptance:
    """Submits patches and tells their fate.

    :param log: the version log.
    :param reactor: Twisted reactor.
    :param read_unix_ms: reads the wall clock, in milliseconds since 1970.
    """

    def __init__(self, log: VersionLog, reactor: Any, read_unix_ms: Callable[[], int]) -> None:
        self._log = log
        self._reactor = reactor
        self._read_unix_ms = read_unix_ms

    async def submit(self, submission: Submission) -> Outcome:
        """Submit a patch.

        :param submission: the patch.
        :raises StoreUnavailableError: when the store does not answer before the write; this call
            has then changed nothing.
        :raises StoreValueError: when a stored value is malformed.
        """
        if not 0 <= submission.base_version < MAX_VERSION:
            return _reject(f"base version must be from 0 to {MAX_VERSION - 1}")
        fate = await self.read_fate(submission.patch_id, submission.base_version)
        if not isinstance(fate, NotAccepted):
            return _check_same_patch(fate, submission)
        try:
            base = await self._log.load_version(submission.base_version)
        except VersionAbsentError:
            newest = await self._log.find_newest_version()
            message = f"base version {submission.base_version} does not exist; newest is {newest}"
            return _reject(message)
        prepared = _prepare(base, submission, self._read_unix_ms())
        if isinstance(prepared, RejectedInvalid):
            return prepared
        entry, data = prepared
        return await self._write(submission, entry, data)

    async def read_fate(self, patch_id: str, base_version: int) -> Fate:
        """Tell what became of a patch.

        :param patch_id: id of the patch.
        :param base_version: its base.
        :raises StoreUnavailableError: when the store does not answer.
        :raises StoreValueError: when the entry is malformed.
        """
        entry = await self._log.read_entry(base_version + 1)
        if entry is None:
            return NotAccepted(patch_id, base_version)
        if entry.patch_id == patch_id:
            return Accepted(entry)
        return await self._describe_stale(entry)

    async def write_due_snapshot(self, version: int) -> bool:
        """Write the snapshot of a version that is due for one; returns whether one was written.

        :param version: a version just accepted.
        :raises StoreError: when the snapshot could not be written, which does no harm.
        """
        if version % SNAPSHOT_INTERVAL_VERSIONS != 0:
            return False
        entry = await self._log.read_entry(version)
        if entry is None:
            return False
        state = await self._log.load_version(version)
        return await self._log.write_state_snapshot(state, entry.result_digest)

    async def _write(self, submission: Submission, entry: LogEntry, data: bytes) -> Outcome:
        """Write the entry; once it is sent, any answer that settles nothing leaves it unknown."""
        reason = "the store gave no answer that settles it"
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                delay_s = RETRY_DELAY_MS * 2 ** (attempt - 1) / 1000
                await deferLater(self._reactor, delay_s)
            try:
                if await self._log.client.create_key(entry_key(entry.version), data):
                    return Accepted(entry)
            except StoreError as error:
                reason = str(error)
            try:
                fate = await self.read_fate(submission.patch_id, submission.base_version)
            except StoreError as error:
                reason = str(error)
                continue
            if not isinstance(fate, NotAccepted):
                return _check_same_patch(fate, submission)
        return SubmissionUnknown(submission.patch_id, submission.base_version, reason)

    async def _describe_stale(self, winner: LogEntry) -> RejectedStale:
        """Add the differences since the base; the rejection stands without them."""
        try:
            base = await self._log.load_version(winner.base_version)
            newest = await self._log.load_newest()
        except (StoreError, VersionAbsentError):
            return RejectedStale(winner, None, None)
        differences = diff_documents(base.document, newest.document)
        return RejectedStale(winner, newest.version, differences)
