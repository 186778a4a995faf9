"""Tests of the acceptance of patches."""

from __future__ import annotations

import json

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bamboonotch_core.configuration import encode_entry, parse_patch
from bamboonotch_core.errors import StoreUnavailableError, StoreValueError
from bamboonotch_store.acceptance import (
    Accepted,
    NotAccepted,
    PatchAcceptance,
    RejectedInvalid,
    RejectedStale,
    Submission,
    SubmissionUnknown,
)
from bamboonotch_store.log import VersionLog, entry_key
from tests.support import StoreTestCase
from tests.test_log import SERVICE, make_entries

RACERS = 10


def make_submission(patch_id: str, base: int = 0, service: str = "menu") -> Submission:
    """Return a patch that adds one service."""
    operation = {"op": "add", "path": f"/services/{service}", "value": SERVICE}
    patch = parse_patch(json.dumps([operation]))
    return Submission(patch_id, base, patch, "ram", "test")


class AcceptanceTestCase(StoreTestCase):
    """Has an acceptance."""

    def setUp(self) -> None:
        """Open the log."""
        super().setUp()
        self.log = VersionLog(self.client)
        self.acceptance = PatchAcceptance(self.log, reactor, lambda: 1)

    def accept(self, count: int) -> None:
        """Put versions into the store."""
        for entry, _ in make_entries(count):
            self.put(entry_key(entry.version), encode_entry(entry))


class SubmitTest(AcceptanceTestCase):
    """Submissions with a store that answers."""

    async def test_versions_follow_one_another(self) -> None:
        """Guards against a patch accepted under any number but base plus one."""
        for base in range(3):
            outcome = await self.acceptance.submit(
                make_submission(f"p{base}", base, f"service-{base}")
            )
            assert isinstance(outcome, Accepted)
            self.assertEqual(outcome.entry.version, base + 1)
        self.assertEqual(len((await self.log.load_newest()).document["services"]), 3)

    async def test_racing_operators_have_one_winner(self) -> None:
        """Guards against a stale patch that overwrites another operator's work."""
        submissions = [make_submission(f"p{n}", 0, f"service-{n}") for n in range(RACERS)]
        running = [
            Deferred.fromCoroutine(
                PatchAcceptance(VersionLog(self.make_client()), reactor, lambda: 1).submit(item)
            )
            for item in submissions
        ]
        outcomes = [await result for result in running]
        winners = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
        self.assertEqual(len(winners), 1)
        for outcome in outcomes:
            if isinstance(outcome, RejectedStale):
                self.assertEqual(outcome.winner, winners[0].entry)
                assert outcome.differences is not None
                self.assertEqual([item.operation for item in outcome.differences], ["add"])
        self.assertEqual(sum(isinstance(o, RejectedStale) for o in outcomes), RACERS - 1)

    async def test_resubmission_is_the_same_version(self) -> None:
        """Guards against a repeated submission that is accepted twice or called stale."""
        first = await self.acceptance.submit(make_submission("p"))
        await self.acceptance.submit(make_submission("q", 1, "orders"))
        self.assertEqual(await self.acceptance.submit(make_submission("p")), first)
        self.assertEqual((await self.log.read_newest()).version, 2)

    async def test_patch_id_used_for_another_patch(self) -> None:
        """Guards against an edited patch reported as accepted under its old id."""
        await self.acceptance.submit(make_submission("p"))
        outcome = await self.acceptance.submit(make_submission("p", 0, "orders"))
        assert isinstance(outcome, RejectedInvalid)
        self.assertIn("new patch id", outcome.faults[0].message)

    async def test_stale_patch_gets_all_differences(self) -> None:
        """Guards against a stale rejection that hides what happened since the base."""
        self.accept(3)
        outcome = await self.acceptance.submit(make_submission("late", 1))
        assert isinstance(outcome, RejectedStale)
        assert outcome.differences is not None
        self.assertEqual(outcome.newest_version, 3)
        pointers = [item.pointer for item in outcome.differences]
        self.assertEqual(pointers, ["/services/s1", "/services/s2"])

    async def test_invalid_patches_change_nothing(self) -> None:
        """Guards against a bad version reaching the log, or a fault left out (P3)."""
        bad_service = {"tenant": "NO", "slots_per_backend_server": 0}
        patches = (
            ([{"op": "remove", "path": "/services/absent"}], 1),
            ([{"op": "add", "path": "/services/a", "value": bad_service}], 2),
            ([{"op": "add", "path": "/x", "value": "\ud800"}, {"op": "remove", "path": "/x"}], 1),
        )
        deep: dict[str, object] = {}
        for _ in range(300):
            deep = {"a": deep}
        patches += (([{"op": "test", "path": "/x", "value": deep}], 1),)
        for operations, count in patches:
            submission = Submission("p", 0, tuple(json.loads(json.dumps(operations))), "a", "")
            outcome = await self.acceptance.submit(submission)
            assert isinstance(outcome, RejectedInvalid), outcome
            self.assertEqual(len(outcome.faults), count)
        self.assertEqual(self.keys(), [])

    async def test_unencodable_comment_is_invalid(self) -> None:
        """Guards against a comment that breaks the encoding of the entry."""
        submission = make_submission("p")
        outcome = await self.acceptance.submit(
            Submission("p", 0, submission.patch, "a", "\udcff" * 3)
        )
        self.assertIsInstance(outcome, RejectedInvalid)

    async def test_entry_that_no_node_could_decode_is_invalid(self) -> None:
        """Guards against an accepted version that every node refuses."""
        submission = Submission("p", 0, make_submission("p").patch, "a", "x" * 1024 * 1024)
        self.assertIsInstance(await self.acceptance.submit(submission), RejectedInvalid)
        self.assertEqual(self.keys(), [])

    async def test_base_that_does_not_exist_is_invalid(self) -> None:
        """Guards against a gap in the log."""
        self.accept(1)
        for base in (2, -1, 10**12):
            outcome = await self.acceptance.submit(make_submission("p", base))
            self.assertIsInstance(outcome, RejectedInvalid)
        self.assertEqual(self.keys(), [entry_key(1)])

    async def test_due_snapshot_is_written(self) -> None:
        """Guards against a log that readers must replay from its beginning."""
        self.accept(16)
        self.assertFalse(await self.acceptance.write_due_snapshot(15))
        self.assertTrue(await self.acceptance.write_due_snapshot(16))
        newest = await self.log.read_newest()
        self.assertEqual((newest.snapshot_version, newest.entries), (16, ()))
        self.assertEqual((await self.log.load_newest()).document, make_entries(16)[-1][1])


class OutageTest(AcceptanceTestCase):
    """Submissions with a store that fails."""

    async def test_lost_answer_is_resolved(self) -> None:
        """Guards against an accepted patch reported as stale or unknown after a lost answer."""
        self.drop_answers(1)
        outcome = await self.acceptance.submit(make_submission("p"))
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(self.server.calls["cas"], 1)

    async def test_store_down_before_write(self) -> None:
        """Guards against an outage before the write reported as a possible acceptance."""
        self.server.change_faults(refuse="abort")
        with self.assertRaises(StoreUnavailableError):
            await self.acceptance.submit(make_submission("p"))

    async def test_store_lost_at_write_is_unknown_then_resolved(self) -> None:
        """Guards against a definite answer while the write may have taken effect."""
        create_key = self.client.create_key

        def hold_and_create(key: str, value: bytes) -> Deferred[bool]:
            self.server.change_faults(hold=True)
            return create_key(key, value)

        self.patch(self.client, "create_key", hold_and_create)
        outcome = await self.acceptance.submit(make_submission("p"))
        assert isinstance(outcome, SubmissionUnknown)
        self.assertEqual((outcome.patch_id, outcome.base_version), ("p", 0))
        self.server.change_faults(clear=True)
        self.assertIsInstance(await self.acceptance.read_fate("p", 0), Accepted)

    async def test_malformed_answers_at_write_are_unknown(self) -> None:
        """Guards against a definite verdict when an answer during the write is malformed."""
        create_key = self.client.create_key

        def create_and_garble(key: str, value: bytes) -> Deferred[bool]:
            self.put(key, b"garbage")
            return create_key(key, value).addCallback(self.raise_malformed)

        self.patch(self.client, "create_key", create_and_garble)
        outcome = await self.acceptance.submit(make_submission("p"))
        self.assertIsInstance(outcome, SubmissionUnknown)

    def raise_malformed(self, answer: bool) -> bool:
        """Fail as the client does for a malformed answer."""
        raise StoreValueError(f"answer {answer}")

    async def test_racing_operators_with_lost_answers_lose_no_work(self) -> None:
        """Guards against work lost, doubled or overwritten when answers are lost in a race."""
        running = [Deferred.fromCoroutine(self.submit_until_accepted(n)) for n in range(RACERS)]
        while not all(result.called for result in running):
            self.drop_answers(1)
            await deferLater(reactor, 0.02)
        versions = sorted([await result for result in running])
        self.assertEqual(versions, list(range(1, RACERS + 1)))
        state = await self.log.load_newest()
        self.assertEqual(state.version, RACERS)
        self.assertEqual(set(state.document["services"]), {f"s{n}" for n in range(RACERS)})

    async def submit_until_accepted(self, number: int) -> int:
        """Submit one operator's work on each newest version until it is accepted."""
        log = VersionLog(self.make_client())
        acceptance = PatchAcceptance(log, reactor, lambda: 1)
        while True:
            base = await log.find_newest_version()
            submission = make_submission(f"p{number}-{base}", base, f"s{number}")
            outcome = await acceptance.submit(submission)
            while isinstance(outcome, SubmissionUnknown):
                outcome = await acceptance.submit(submission)
            if isinstance(outcome, Accepted):
                return outcome.entry.version

    async def test_fates(self) -> None:
        """Guards against a fate that differs from what the one key says."""
        self.assertEqual(await self.acceptance.read_fate("p", 0), NotAccepted("p", 0))
        await self.acceptance.submit(make_submission("p"))
        self.assertIsInstance(await self.acceptance.read_fate("p", 0), Accepted)
        self.assertIsInstance(await self.acceptance.read_fate("q", 0), RejectedStale)

    async def test_malformed_entry_is_no_verdict(self) -> None:
        """Guards against a verdict from an entry that cannot be read."""
        self.put(entry_key(1), b"garbage")
        with self.assertRaises(StoreValueError):
            await self.acceptance.submit(make_submission("p"))
