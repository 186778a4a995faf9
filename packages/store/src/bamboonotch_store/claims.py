"""Claims of idempotency keys, by which a keyed request is dispatched at most once."""

from __future__ import annotations

import re
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from bamboonotch_core.errors import StoreError, StoreUnavailableError
from bamboonotch_core.request_events import ClaimResult
from bamboonotch_store.client import KeyRead, StoreClient
from bamboonotch_store.errors import ClaimKeyError

__all__ = [
    "MAX_AGE_MS",
    "MAX_AHEAD_MS",
    "RETENTION_MS",
    "ClaimKey",
    "Claims",
    "parse_claim_key",
]

MAX_AGE_MS = 15 * 60_000
MAX_AHEAD_MS = 60_000
# Twice the window: a node whose clock is behind by less than the difference still finds the claim
# of every key that it accepts.
RETENTION_MS = 2 * MAX_AGE_MS
MINUTE_MS = 60_000
CLAIM_ATTEMPTS = 2
UUID_VERSION = 7
KEY_PATTERN = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\Z", re.IGNORECASE)
MINUTE_PATTERN = re.compile(r"claim/(\d{1,12})/\Z")


# Value of a claim whose attempt was proven not to have run.
RELEASED = b""


def _supersedes_none(new_id: str, old_id: str) -> bool:
    del new_id, old_id
    return False


@dataclass(frozen=True)
class ClaimKey:
    """An idempotency key whose time is within the window.

    :param text: the key in lower case.
    :param unix_ms: its time, in milliseconds since 1970.
    """

    text: str
    unix_ms: int

    @property
    def store_key(self) -> str:
        """The key of its claim in the store."""
        return f"claim/{self.unix_ms // MINUTE_MS}/{self.text}"


def parse_claim_key(text: str, now_unix_ms: int) -> ClaimKey:
    """Parse an idempotency key, which is a UUID of version 7 (RFC 9562), and check its time.

    :param text: the key.
    :param now_unix_ms: wall clock, in milliseconds since 1970.
    :raises ClaimKeyError: when it is no such UUID, or its time is outside the window.
    """
    if not KEY_PATTERN.match(text):
        raise ClaimKeyError("idempotency key must be a UUID in its 36 character form")
    value = uuid.UUID(text)
    if value.variant != uuid.RFC_4122 or value.version != UUID_VERSION:
        raise ClaimKeyError("idempotency key must be a UUID of version 7 (RFC 9562)")
    unix_ms = value.int >> 80
    age_ms = now_unix_ms - unix_ms
    if age_ms > MAX_AGE_MS:
        raise ClaimKeyError(f"idempotency key is {age_ms} ms old; {MAX_AGE_MS} ms are allowed")
    if -age_ms > MAX_AHEAD_MS:
        raise ClaimKeyError(f"idempotency key is {-age_ms} ms ahead; {MAX_AHEAD_MS} ms are allowed")
    return ClaimKey(text.lower(), unix_ms)


class Claims:
    """Creates and deletes the claims of one tenant.

    An attempt id must be unique, for it tells a writer that lost an answer whether the claim in
    the store is its own.

    :param client: the store client, which stays open while this is used.
    :param read_unix_ms: reads the wall clock, in milliseconds since 1970.
    """

    def __init__(self, client: StoreClient, read_unix_ms: Callable[[], int]) -> None:
        self._client = client
        self._read_unix_ms = read_unix_ms

    async def create(
        self,
        idempotency_key: str,
        attempt_id: str,
        supersedes: Callable[[str, str], bool] = _supersedes_none,
    ) -> ClaimResult:
        """Claim a key for an attempt.

        A claim that was released, or whose attempt the new one proves not to have run, is replaced.

        :param idempotency_key: the key.
        :param attempt_id: the attempt.
        :param supersedes: tells whether the first attempt id proves that the second did not run.
        :returns: ``CREATED`` when the claim is this attempt's, ``TAKEN`` when another's, and
            ``UNAVAILABLE`` when this could not be found out.
        :raises ClaimKeyError: when the key is malformed or outside the window.
        """
        key = parse_claim_key(idempotency_key, self._read_unix_ms())
        value = attempt_id.encode()

        def may_replace(old: bytes) -> bool:
            return old == RELEASED or supersedes(attempt_id, old.decode("utf-8", "replace"))

        return self._expire(key, await self._settle(key, value, may_replace))

    async def release(self, idempotency_key: str, attempt_id: str) -> None:
        """Give back the claim of an attempt that was proven not to have run.

        Does nothing when another attempt holds the claim meanwhile.

        :param idempotency_key: the key.
        :param attempt_id: the attempt.
        :raises StoreUnavailableError: when the store does not answer; repeats of the key are then
            answered as unknown.
        """
        key = parse_claim_key(idempotency_key, self._read_unix_ms())
        read = await self._client.read_key(key.store_key)
        if read.value == attempt_id.encode():
            await self._client.compare_and_swap(key.store_key, RELEASED, read.index)

    async def delete_old(self) -> int:
        """Delete the claims of minutes that no accepted key can be of; returns how many minutes.

        :raises StoreUnavailableError: when the store does not answer; repeating is safe.
        """
        oldest_minute = (self._read_unix_ms() - RETENTION_MS) // MINUTE_MS
        deleted = 0
        for prefix in await self._client.list_keys("claim/", separator="/"):
            match = MINUTE_PATTERN.match(prefix)
            if match is not None and int(match[1]) < oldest_minute:
                await self._client.delete_prefix(prefix)
                deleted += 1
        return deleted

    async def _settle(
        self, key: ClaimKey, value: bytes, may_replace: Callable[[bytes], bool]
    ) -> ClaimResult:
        """Write, and where the answer is lost or negative, read the claim back."""
        index = 0
        for _ in range(CLAIM_ATTEMPTS):
            try:
                if await self._client.compare_and_swap(key.store_key, value, index):
                    return ClaimResult.CREATED
            except StoreUnavailableError:
                pass
            except StoreError:
                return ClaimResult.UNAVAILABLE
            try:
                read: KeyRead = await self._client.read_key(key.store_key)
            except StoreUnavailableError:
                continue
            except StoreError:
                return ClaimResult.UNAVAILABLE
            if read.value == value:
                return ClaimResult.CREATED
            if read.value is not None and not may_replace(read.value):
                return ClaimResult.TAKEN
            index = 0 if read.value is None else read.index
        return ClaimResult.UNAVAILABLE

    def _expire(self, key: ClaimKey, result: ClaimResult) -> ClaimResult:
        """Void a claim created so late that an earlier one may have been deleted meanwhile."""
        age_ms = self._read_unix_ms() - key.unix_ms
        if result is ClaimResult.CREATED and age_ms > MAX_AGE_MS + MINUTE_MS:
            return ClaimResult.UNAVAILABLE
        return result
