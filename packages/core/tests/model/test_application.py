"""Model of whole-or-nothing application, driving the reducer with good and bad copies.

Peers push deltas and snapshot chunks of which some are bad, in any order and as often as they like;
a bad copy of each kind exists for each version.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any
from unittest import mock

from immutables import Map
from minicheck import Protocol, check_liveness

from bamboonotch_core.configuration import (
    digest_document,
    encode_snapshot,
    parse_configuration,
)
from bamboonotch_core.distribution import (
    DistributionState,
    MembershipView,
    _versions,
    make_distribution_state,
    reduce_distribution,
)
from bamboonotch_core.distribution._state import Source, WitnessLinks
from bamboonotch_core.distribution._witness_register import WitnessRegister
from bamboonotch_core.events import MessageReceived
from bamboonotch_core.messages import Heartbeat, Message, SnapshotChunk, VersionPush
from bamboonotch_core.settings import DistributionSettings
from tests.distribution.support import entry_of, make_settings, make_version, neighbour
from tests.model.support import Interner, ModelTestCase, State, make_protocol

NOW_MS = 1e6
VERSIONS = 3
PEERS = ("good", "bad")
SNAPSHOT_CHUNKS = 2

WITHOUT_WITNESSES = DistributionSettings(witness_count=0)


def make_messages() -> dict[str, tuple[str, Message]]:
    """Return every message by its label, with its sender."""
    messages: dict[str, tuple[str, Message]] = {}
    for version in range(1, VERSIONS + 1):
        entry = entry_of(version)
        messages[f"delta {version}"] = ("good", VersionPush(version, entry))
        messages[f"cut delta {version}"] = ("bad", VersionPush(version, entry[:-3]))
        messages[f"misnumbered delta {version}"] = ("bad", VersionPush(version + 1, entry))
        document = make_version(version)[1]
        digest, data = digest_document(document), encode_snapshot(document)
        middle = len(data) // 2
        for index, piece in enumerate((data[:middle], data[middle:])):
            chunk = SnapshotChunk(version, digest, index, SNAPSHOT_CHUNKS, piece)
            messages[f"chunk {index} of {version}"] = ("good", chunk)
            wrong = replace(chunk, data=piece[::-1])
            messages[f"wrong chunk {index} of {version}"] = ("bad", wrong)
    for peer in PEERS:
        messages[f"{peer} holds {VERSIONS}"] = (peer, Heartbeat(VERSIONS, 0, 0, True))
    return messages


MESSAGES = make_messages()


def key_of(state: DistributionState) -> tuple[Any, ...]:
    """Return what tells two states apart."""
    return (
        state.held_version,
        digest_document(state.held_document),
        state.running_version,
        state.running_configuration,
        state.wanted,
        state.assembly,
        state.peers,
        frozenset(state.refused),
    )


def make_model() -> Protocol:
    """Return the model of a node that serves version 0 and gets messages of two peers."""
    states: list[DistributionState] = []
    numbers = Interner()
    view = MembershipView(tuple(neighbour(name) for name in PEERS))
    expected = [parse_configuration(make_version(v)[1]) for v in range(VERSIONS + 2)]

    def keep(state: DistributionState) -> int:
        wanted = state.wanted and replace(state.wanted, sent_ms=NOW_MS, asked_ms=NOW_MS)
        # Peers are remembered for the choice of the next one to ask, which times decide.
        state = replace(
            state,
            seed=0,
            held_ms=0.0,
            held_source=Source("x"),
            wanted=wanted,
            last_asked="",
            last_asked_ms=float("-inf"),
            peers=Map({key: replace(value, unanswered=0) for key, value in state.peers.items()}),
            entries=Map(),
            store=replace(state.store, not_before_ms=2 * NOW_MS, pending=None),
            register=WitnessRegister("n", 1),
            witness_links=WitnessLinks(),
            candidate=None,
            refused=(),
        )
        number = numbers.number(key_of(state))
        if number == len(states):
            states.append(state)
        return number

    def transitions(state: State) -> Iterator[tuple[str, State]]:
        for label, (peer, message) in MESSAGES.items():
            event = MessageReceived(NOW_MS, f"link-{peer}", message)
            after = reduce_distribution(states[state[0]], event, view).state
            yield label, (keep(after),)

    start = replace(
        make_distribution_state(make_settings(distribution=WITHOUT_WITNESSES), 1),
        started_ms=0.0,
        proven_version=0,
        serving=True,
    )

    def is_whole(d: Any) -> bool:
        state = states[d["node"]]
        return bool(state.running_configuration == expected[state.running_version])

    def is_held_whole(d: Any) -> bool:
        state = states[d["node"]]
        return bool(state.held_document == make_version(state.held_version)[1])

    return make_protocol(
        "application",
        ("node",),
        (keep(start),),
        transitions,
        {"P3-whole-version": is_whole, "P3-held-whole": is_held_whole},
        goal=lambda d: states[d["node"]].running_version == VERSIONS,
    )


def patch_check(**changes: Any) -> Any:
    """Replace functions that check versions."""
    return mock.patch.multiple(_versions, **changes)


def apply_unchecked(version: int, document: Any, data: bytes) -> Any:
    """Apply an entry without comparing its number."""
    entry = _versions.decode_entry(data)
    return _versions.apply_entry(document, replace(entry, version=version))


def run_old_configuration(data: bytes, digest: str) -> Any:
    """Take a snapshot's document without its configuration."""
    document, _ = DECODE_SNAPSHOT(data, digest)
    return document, parse_configuration(make_version(0)[1])


DECODE_SNAPSHOT = _versions.decode_snapshot


class ApplicationModelTest(ModelTestCase):
    """A version is run whole or not at all."""

    def test_bad_copies(self) -> None:
        """Guards against a bad copy that is applied in part (P3)."""
        self.assert_holds(make_model(), 2_573)

    def test_bad_copies_do_not_stop_good_ones(self) -> None:
        """Guards against a bad copy of one peer that keeps the good one out (P9)."""
        result = check_liveness(make_model())
        self.assertIs(result["holds"], True)

    def test_number_not_checked(self) -> None:
        """Guards against an entry that is taken for another version's."""
        with patch_check(_check_entry=apply_unchecked):
            self.assert_refuted(make_model(), "P3-held-whole", 2)

    def test_document_and_configuration_apart(self) -> None:
        """Guards against a new document that runs with the old configuration."""
        with patch_check(decode_snapshot=run_old_configuration):
            self.assert_refuted(make_model(), "P3-whole-version", 3)
