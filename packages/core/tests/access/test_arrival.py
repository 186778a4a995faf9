"""Tests of the access to workspaces at the arrival of a request."""

from __future__ import annotations

import unittest

from bamboonotch_core.access import ConfigurationKnowledge
from bamboonotch_core.configuration import Configuration, parse_configuration
from bamboonotch_core.documents import DocumentState
from bamboonotch_core.documents._state import Confirmation
from bamboonotch_core.effects import Effect
from bamboonotch_core.events import Event
from bamboonotch_core.outcomes import make_outcome_state, reduce_outcomes
from bamboonotch_core.reducer import reduce
from bamboonotch_core.replace import replace_fields
from bamboonotch_core.request_effects import ForwardAttempt, RequestReport, RespondToCaller
from bamboonotch_core.request_events import (
    BackendResult,
    OwnerRefused,
    RequestArrived,
)
from bamboonotch_core.settings import AccessSettings, RequestSettings
from bamboonotch_core.state import NodeState, make_node_state
from tests.access.test_decision import KEY, KEYED, OPEN, OTHER_KEY, REMOVED_KEY, WORKSPACES
from tests.outcomes.mesh import UNIX_MS
from tests.routing.builders import (
    CLASSES,
    ROUTES,
    SERVICES,
    make_configuration,
    make_record,
    make_settings,
    make_table,
)

NOW_MS = 10_000.0
STRICT = AccessSettings(revocation_ms=5000)
ANONYMOUS = make_configuration(
    routes={"read-order": {**ROUTES["read-order"], "anonymous": True}}, workspaces=WORKSPACES
)


def make_arrival(key_digest: str = "", request_id: str = "r") -> RequestArrived:
    """Return the arrival of a request for ``/orders``."""
    return RequestArrived(
        NOW_MS, request_id, "GET", "/orders", None, "", 0, UNIX_MS, key_digest=key_digest
    )


class IngressTest(unittest.TestCase):
    """The ingress with a configuration and an age of it."""

    def start(
        self,
        configuration: Configuration = KEYED,
        age_ms: float = 100.0,
        access: AccessSettings = STRICT,
    ) -> None:
        """Start an ingress that has two owners."""
        requests = RequestSettings(retry_budget_initial=5.0)
        settings = make_settings(requests=requests, access=access)
        state = make_outcome_state(settings, 3)
        knowledge = ConfigurationKnowledge(NOW_MS - age_ms)
        self.state = replace_fields(state, knowledge=knowledge)
        records = [make_record(f"n{number}") for number in range(2)]
        self.table = make_table(*records, configuration=configuration)

    def send(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event and return its effects."""
        step = reduce_outcomes(self.state, event, self.table)
        self.state = step.state
        return step.effects

    def test_workspace_and_priority(self) -> None:
        """Guards against a workspace that is lost between the key and the owner."""
        self.start()
        (effect,) = self.send(make_arrival(KEY))
        assert isinstance(effect, ForwardAttempt)
        self.assertEqual(effect.workspace, "acme")
        request = self.state.requests["r"]
        self.assertEqual((request.workspace, request.rank[0]), ("acme", 2))

    def test_retry_keeps_the_workspace(self) -> None:
        """Guards against a retry that runs under no name, or is checked and refused again."""
        self.start(age_ms=4899.0)
        (effect,) = self.send(make_arrival(OTHER_KEY))
        assert isinstance(effect, ForwardAttempt)
        self.table = make_table(
            make_record("n0"), make_record("n1"), configuration=make_configuration()
        )
        refused = OwnerRefused(
            NOW_MS + 1900,
            "r",
            effect.attempt_id,
            effect.owner_id,
            BackendResult.NOT_RUN,
            "queue-full",
            1,
        )
        retried = [item for item in self.send(refused) if isinstance(item, ForwardAttempt)]
        self.assertEqual([item.workspace for item in retried], ["bolt"])

    def test_refusals(self) -> None:
        """Guards against a refusal without its cause, or one that tells the key."""
        cases = (
            (REMOVED_KEY, 100.0, 401, "unknown-key", 0),
            ("", 100.0, 401, "unknown-key", 0),
            (REMOVED_KEY, 3000.0, 503, "access-unconfirmed", 1000),
            (KEY, 4900.0, 503, "access-unconfirmed", 1000),
        )
        for key, age_ms, status, reason, retry_after_ms in cases:
            with self.subTest(key=key, age_ms=age_ms):
                self.start(age_ms=age_ms)
                report, answer = self.send(make_arrival(key))
                assert isinstance(answer, RespondToCaller)
                self.assertEqual(
                    (answer.status, answer.reason, answer.retry_after_ms, answer.outcome.value),
                    (status, reason, retry_after_ms, "not-run"),
                )
                assert isinstance(report, RequestReport)
                self.assertEqual((report.name, report.reason), ("access-refused", reason))
                self.assertEqual(
                    dict(report.fields),
                    {
                        "request": "r",
                        "route": "read-order",
                        "reason": reason,
                        "with_key": bool(key),
                        "knowledge_age_ms": age_ms,
                        "newer_exists": False,
                        "version": 1,
                    },
                )
                self.assertNotIn("r", self.state.requests)

    def test_anonymous_route(self) -> None:
        """Guards against calls of backend servers that stop when nothing confirms the version."""
        for age_ms in (100.0, 1e9):
            self.start(ANONYMOUS, age_ms)
            (effect,) = self.send(make_arrival())
            assert isinstance(effect, ForwardAttempt)
            self.assertEqual((effect.workspace, self.state.requests["r"].rank[0]), ("", 0))

    def test_without_workspaces(self) -> None:
        """Guards against a key that is asked for where there are no workspaces."""
        self.start(OPEN, 1e9)
        (effect,) = self.send(make_arrival(KEY))
        assert isinstance(effect, ForwardAttempt)
        self.assertEqual(effect.workspace, "")


class NodeTest(unittest.TestCase):
    """The whole node, which passes on how current its version is."""

    def make_node(self, documents: bool, **changes: object) -> NodeState:
        """Return a node that runs a configuration with workspaces."""
        settings = make_settings(access=STRICT)
        sections = {"classes": CLASSES, "services": SERVICES, "routes": ROUTES}
        document = {**sections, "workspaces": WORKSPACES}
        state = make_node_state(
            settings, 1, 1, NOW_MS, DocumentState(settings) if documents else None
        )
        held = {"held_version": 7, "serving": True} | changes
        if not documents:
            held["running_version"] = 7
        distribution = replace_fields(
            state.distribution, running_configuration=parse_configuration(document), **held
        )
        return replace_fields(state, distribution=distribution)

    def refuse(self, state: NodeState, key: str) -> str:
        """Return why a request is refused; without an owner each one is."""
        (answer,) = [
            effect
            for effect in reduce(state, make_arrival(key)).effects
            if isinstance(effect, RespondToCaller)
        ]
        return answer.reason

    def test_documents(self) -> None:
        """Guards against an age that does not reach the decision."""
        for age_ms, known, unknown in (
            (100.0, "no-ready-backend-server", "unknown-key"),
            (3000.0, "no-ready-backend-server", "access-unconfirmed"),
            (4900.0, "access-unconfirmed", "access-unconfirmed"),
        ):
            confirmation = Confirmation(9, NOW_MS - age_ms)
            state = self.make_node(True, confirmation=confirmation)
            self.assertEqual(self.refuse(state, KEY), known)
            self.assertEqual(self.refuse(state, REMOVED_KEY), unknown)
        state = self.make_node(True)
        self.assertEqual(self.refuse(state, KEY), "access-unconfirmed")

    def test_newer_version(self) -> None:
        """Guards against 401 while a newer version is on its way, or was refused as invalid."""
        confirmation = Confirmation(9, NOW_MS)
        refused = {"refused": (3, 8), "refused_version": 8, "superseded_confirmed_ms": NOW_MS}
        for changes in ({"behind_since_ms": NOW_MS - 1}, refused):
            state = self.make_node(True, confirmation=confirmation, **changes)
            self.assertEqual(self.refuse(state, REMOVED_KEY), "access-unconfirmed")
            self.assertEqual(self.refuse(state, KEY), "no-ready-backend-server")
        state = self.make_node(True, confirmation=confirmation, refused=(3, 6), refused_version=6)
        self.assertEqual(self.refuse(state, REMOVED_KEY), "unknown-key")

    def test_refused_version(self) -> None:
        """Guards against a removed key that works because its removal is in a refused version."""
        refused = {"refused_version": 8, "superseded_confirmed_ms": NOW_MS - 4900.0}
        state = self.make_node(True, confirmation=Confirmation(9, NOW_MS), **refused)
        self.assertEqual(self.refuse(state, KEY), "access-unconfirmed")

    def test_own_log(self) -> None:
        """Guards against a log that states no age and is taken for confirmed."""
        state = self.make_node(False)
        self.assertEqual(self.refuse(state, KEY), "access-unconfirmed")
        self.assertEqual(self.refuse(state, REMOVED_KEY), "access-unconfirmed")
