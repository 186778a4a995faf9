"""When this node reads the store itself.

The store readers of a region keep a watch on the document. Heartbeats carry, from neighbour to
neighbour, until when the version that a node holds is known to be the newest. A node that has not
learned this for longer than a heartbeat takes through its region reads the store itself, whatever
has happened to the readers.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TypeAlias

from bamboonotch_core.distribution import Neighbour
from bamboonotch_core.documents._epochs import note_store_epoch
from bamboonotch_core.documents._state import (
    Confirmation,
    DocumentReading,
    DocumentState,
    PeerStatement,
)
from bamboonotch_core.documents._step import Step
from bamboonotch_core.effects import WatchDocument
from bamboonotch_core.events import (
    DocumentRead,
    DocumentRefused,
    DocumentUnchanged,
    StoreReadFailed,
)
from bamboonotch_core.membership import STORE_READERS
from bamboonotch_core.messages import Heartbeat
from bamboonotch_core.settings import NodeSettings

__all__ = [
    "READER_MISSED_MS",
    "SETTLE_MS",
    "WATCH_DOCUMENT",
    "advance_reading",
    "apply_peer_statements",
    "delay_read_in_burst",
    "drop_lost_reader",
    "drop_peer_statement",
    "late_after_ms",
    "note_lost_store",
    "note_read_failure",
    "note_reader_statement",
    "note_store_answer",
    "report_short_apply_time",
    "take_confirmation",
]

StoreAnswer: TypeAlias = DocumentRead | DocumentRefused | DocumentUnchanged

WATCH_DOCUMENT = "watch-document"
# Delay before the read after the first failure; it doubles with each consecutive failure.
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 800.0
# The same limit for nodes that are no readers: an outage makes every node read at the same time.
MAX_OTHERS_BACKOFF_MS = 3000.0
# Pause between reads while the source has no document or has dropped its history.
ABSENT_DOCUMENT_PAUSE_MS = 100.0
# A watch answers with the whole document at each change. When BURST_CHANGES versions come within
# BURST_MS, the next read is delayed and skips versions in between, so that the watches of the
# readers do not saturate the link to the store.
BURST_CHANGES = 3
BURST_MS = 2000.0
# Less than a quarter of 3 s, the shortest time limit within which a version must take effect.
BURST_PAUSE_MS = 700.0
# When a whole region starts, every node is a reader of the few members that it knows, and the
# document would cross the link to the store once for each node. So a node that starts reads the
# store when it has known its peers for SETTLE_MS and still is a reader. The others read at a time
# that depends on their ids, unless a peer brings the document first: a small share early, so that
# the first documents are there when the peers ask; the rest late.
SETTLE_MS = 700.0
EARLY_SHARE = 0.03
EARLY_SPREAD_MS = 300.0
ALONE_START_MS = 1500.0
ALONE_SPREAD_MS = 3000.0
# The readers of the region have had time for a transfer over a slow link before the others begin.
LINKED_START_MS = 6000.0
LINKED_SPREAD_MS = 12_000.0
# How long a node that starts waits for the document of a peer that holds one.
START_PEER_WAIT_MS = 1000.0
# A neighbour of a store reader reads as well once it has had no link to it for this time. Links
# that follow a change of the ring take less to open.
READER_MISSED_MS = 400.0
# Longest watch with strict revocation: a confirmation is at least as old as the watch in progress.
STRICT_WATCH_MS = 1000
# Share of the revocation time after which a node reads the store itself. The rest is for the
# spread of these reads, the read and its repetition. At half, the reads of the nodes that a storm
# of changes left behind filled the link between the regions.
STALE_SHARE = 0.6
# With strict revocation, a node that is no reader reads the whole document after this many
# failures, in case the store has dropped the history of changes.
WHOLE_READ_FAILURES = 4
# How long a node that is known to be behind waits for the document of a peer before it reads.
PEER_DOCUMENT_WAIT_MS = 1000.0
# Share of a watch after which an answer without a change counts as its end; clocks differ.
WHOLE_SHARE = 0.9
# Span over which the nodes that miss a confirmation at the same time begin to read.
STALE_SPREAD_MS = 500.0
# The same for the neighbours of a reader that has lost the store.
LOST_SPREAD_MS = 200.0
# From the moment at which an answer is due until the other nodes run the version: two ticks and a
# message until the neighbours of the reader know, their spread, a read, and a document that goes
# through the region.
REPLACED_MS = 900.0
# An answer is late after this time at least, and after half of the time that is left to others.
MIN_LATE_MS = 150.0
LATE_SHARE = 0.5


def advance_reading(step: Step) -> None:
    """Start a read when this node is to read and none is in progress."""
    reading = step.state.reading
    if reading.pending or step.now_ms < reading.not_before_ms or not _is_read_due(step):
        return
    revision = reading.revision
    if reading.may_use_confirmed or _prefers_changes(step):
        revision = max(revision, step.state.confirmation.revision)
    wait_ms = _wait_ms(step) if revision else 0
    due_ms = reading.due_ms
    if wait_ms and due_ms is None:
        due_ms = step.now_ms + wait_ms + late_after_ms(step.state.settings)
    whole_ms = step.now_ms + WHOLE_SHARE * wait_ms
    step.update_reading(pending=True, whole_ms=whole_ms, due_ms=due_ms)
    step.effects.append(WatchDocument(revision, wait_ms, step.state.store_epoch))


def _is_read_due(step: Step) -> bool:
    confirmed_ms = step.state.confirmation.confirmed_ms
    if confirmed_ms is None:
        # After a restore the readers confirm anew, as if the last confirmation was of that moment.
        confirmed_ms = step.state.restored_ms
    if confirmed_ms is None:
        return _is_start_read_due(step)
    if step.is_store_reader:
        return True
    if step.now_ms - confirmed_ms >= _stale_after_ms(step) and not (
        _is_strict(step) and _waits_for_peer(step)
    ):
        return True
    if _must_replace_reader(step, confirmed_ms):
        return True
    missed_ms = step.state.reader_missed_ms
    return missed_ms is not None and step.now_ms - missed_ms >= READER_MISSED_MS


def _must_replace_reader(step: Step, confirmed_ms: float) -> bool:
    """Return whether a reader has lost the store, and no other one has had an answer since."""
    lost_ms = step.state.lost_reader_ms
    if lost_ms is None:
        return False
    between_ms = _watch_ms(step) / STORE_READERS + late_after_ms(step.state.settings)
    if step.now_ms - confirmed_ms < between_ms:
        return False
    return step.now_ms - lost_ms >= LOST_SPREAD_MS * _share_of_node(step.state)


def _is_strict(step: Step) -> bool:
    return step.state.settings.access.revocation_ms > 0


def _watch_ms(step: Step) -> int:
    watch_ms = step.state.settings.store.watch_ms
    return min(watch_ms, STRICT_WATCH_MS) if _is_strict(step) else watch_ms


def _wait_ms(step: Step) -> int:
    """Return how long the next read waits for a change, in milliseconds."""
    if step.is_store_reader and not step.state.reading.watched_whole:
        # All watches end at a change. The first ones after it last unlike times, so that from then
        # on the store answers the readers of a region one after the other.
        return max(1, round(_watch_ms(step) * (step.reader_share or 1.0)))
    if not _is_strict(step) or step.is_store_reader or step.misses_store_reader:
        return _watch_ms(step)
    # A node whose confirmation is missing needs an answer at once, and one that has it spares
    # those around it their own reads.
    return 0


def _prefers_changes(step: Step) -> bool:
    """Return whether a read that follows a failure asks for the changes since the confirmation.

    A whole document takes the link between the regions for a while. When every node of a region
    repeated whole reads until one succeeded, the link stayed full and none did.
    """
    state = step.state
    is_other = not (step.is_store_reader or step.misses_store_reader)
    return (
        _is_strict(step)
        and is_other
        and state.held_version > 0
        and state.reading.failures % WHOLE_READ_FAILURES != 0
    )


def _waits_for_peer(step: Step) -> bool:
    """Return whether a peer is about to bring a newer version together with its confirmation.

    Its document is compressed and comes from nearby. During a storm of changes, the documents that
    nodes without a fresh confirmation read from the store filled the link between the regions.
    """
    behind_ms = step.state.behind_since_ms
    return behind_ms is not None and step.now_ms - behind_ms < PEER_DOCUMENT_WAIT_MS


def _is_start_read_due(step: Step) -> bool:
    state = step.state
    behind_ms = state.behind_since_ms
    if behind_ms is not None and step.now_ms - behind_ms < START_PEER_WAIT_MS:
        return False
    started_ms = step.now_ms if state.started_ms is None else state.started_ms
    share = _share_of_node(state)
    if share < EARLY_SHARE:
        return step.now_ms >= started_ms + EARLY_SPREAD_MS * share / EARLY_SHARE
    if state.linked_ms is None:
        return step.now_ms >= started_ms + ALONE_START_MS + ALONE_SPREAD_MS * share
    if step.is_store_reader and step.now_ms >= state.linked_ms + SETTLE_MS:
        return True
    return step.now_ms >= started_ms + LINKED_START_MS + LINKED_SPREAD_MS * share


def _stale_after_ms(step: Step) -> float:
    """Return the age of a confirmation beyond which it cannot be on its way any more."""
    state = step.state
    region = state.settings.identity.region
    neighbours = sum(link.region == region for link in step.links.values())
    # A ring member has as many successors as predecessors, and one hop for each suffices.
    hops = 1 + neighbours // 2
    longest_ms: float = _watch_ms(step) + hops * (state.settings.membership.heartbeat_interval_ms)
    if _is_strict(step):
        longest_ms = min(longest_ms, STALE_SHARE * state.settings.access.revocation_ms)
    return longest_ms + STALE_SPREAD_MS * _share_of_node(state)


def _share_of_node(state: DocumentState) -> float:
    """Return a number from 0 to 1 that differs between nodes."""
    digest = blake2b(state.settings.identity.node_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


def note_store_answer(step: Step, event: StoreAnswer) -> None:
    """Take note of an answer of the store; without a revision, the next read does not wait."""
    revision, epoch = event.revision, event.epoch
    note_store_epoch(step, epoch, revision, "")
    if revision and epoch < step.state.store_epoch:
        _back_off(step, f"answer of epoch {epoch}, which was followed by a restore")
        return
    if not step.state.store_reachable:
        step.report("store-regained", held_version=step.state.held_version)
        step.update(store_reachable=True)
    if revision:
        _confirm(step, revision, step.now_ms - event.age_ms)
        is_whole = step.now_ms >= step.state.reading.whole_ms
        watched_whole = isinstance(event, DocumentUnchanged) and is_whole
        step.update(reading=DocumentReading(revision, watched_whole=watched_whole))
        return
    # Without a revision a read does not wait for a change, so a pause separates the reads.
    not_before_ms = step.now_ms + ABSENT_DOCUMENT_PAUSE_MS
    step.update(reading=DocumentReading(may_use_confirmed=False, not_before_ms=not_before_ms))


def note_read_failure(step: Step, event: StoreReadFailed) -> None:
    """Back off after a read without an answer."""
    _back_off(step, event.reason)


def _back_off(step: Step, reason: str) -> None:
    failures = step.state.reading.failures + 1
    limit_ms = MAX_BACKOFF_MS if step.is_store_reader else MAX_OTHERS_BACKOFF_MS
    wait_ms = min(limit_ms, MIN_BACKOFF_MS * 2 ** min(failures - 1, 10))
    # The source may have dropped the history after the revision, so the next read does not wait.
    late_ms = step.now_ms + late_after_ms(step.state.settings)
    known_due_ms = step.state.reading.due_ms
    reading = DocumentReading(
        may_use_confirmed=False,
        failures=failures,
        not_before_ms=step.now_ms + wait_ms,
        due_ms=late_ms if known_due_ms is None else min(known_due_ms, late_ms),
    )
    if step.state.store_reachable:
        step.report("store-lost", reason=reason, held_version=step.state.held_version)
    step.update(reading=reading, store_reachable=False)


def late_after_ms(settings: NodeSettings) -> float:
    """Return how long after the end of its watch a reader's answer counts as late, in milliseconds.

    :param settings: settings of the node.
    """
    left_ms = _apply_slack_ms(settings)
    return max(MIN_LATE_MS, LATE_SHARE * left_ms)


def _apply_slack_ms(settings: NodeSettings) -> float:
    """Return what is left of the time to apply a version when all readers lose the store."""
    watch_ms = settings.store.watch_ms
    if settings.access.revocation_ms > 0:
        watch_ms = min(watch_ms, STRICT_WATCH_MS)
    return settings.access.freshness_ms - watch_ms / STORE_READERS - REPLACED_MS


def report_short_apply_time(step: Step) -> None:
    """Report when versions cannot take effect in time while all readers have lost the store."""
    settings = step.state.settings
    missing_ms = MIN_LATE_MS - _apply_slack_ms(settings)
    if missing_ms > 0.0:
        step.report(
            "apply-time-short",
            freshness_ms=settings.access.freshness_ms,
            missing_ms=round(missing_ms),
        )


def note_lost_store(step: Step) -> None:
    """Note whether this node is a reader that has no answer of the store in time."""
    due_ms = step.state.reading.due_ms
    lost = step.is_store_reader and due_ms is not None and step.now_ms >= due_ms
    if lost == step.state.lost_store:
        return
    step.update(lost_store=lost)
    if lost:
        step.report("store-answer-late", held_version=step.state.held_version)


def note_reader_statement(step: Step, peer: Neighbour, lost_store: bool) -> None:
    """Note whether a reader of this region states that it has lost the store."""
    known = step.state.lost_readers
    if peer.region != step.state.settings.identity.region or lost_store == (peer.link_id in known):
        return
    if lost_store:
        _set_lost_readers(step, known | {peer.link_id})
    else:
        drop_lost_reader(step, peer.link_id)


def drop_lost_reader(step: Step, link_id: str) -> None:
    """Forget what the reader at the end of a link has stated."""
    if link_id in step.state.lost_readers:
        _set_lost_readers(step, step.state.lost_readers - {link_id})


def _set_lost_readers(step: Step, links: frozenset[str]) -> None:
    since_ms = step.state.lost_reader_ms
    if not links:
        since_ms = None
    elif since_ms is None:
        since_ms = step.now_ms
    step.update(lost_readers=links, lost_reader_ms=since_ms)


def delay_read_in_burst(step: Step) -> None:
    """Delay the next read after ``BURST_CHANGES`` changes within ``BURST_MS``."""
    change_times_ms = (*step.state.change_times_ms, step.now_ms)[-BURST_CHANGES:]
    step.update(change_times_ms=change_times_ms)
    if len(change_times_ms) == BURST_CHANGES and step.now_ms - change_times_ms[0] < BURST_MS:
        step.update(
            reading=DocumentReading(
                may_use_confirmed=False, not_before_ms=step.now_ms + BURST_PAUSE_MS
            )
        )


def take_confirmation(step: Step, peer: Neighbour, heartbeat: Heartbeat) -> None:
    """Take over a peer's confirmation if it also holds for the version held here."""
    note_store_epoch(step, heartbeat.store_epoch, heartbeat.confirmed_revision, peer.node_id)
    if heartbeat.store_epoch != step.state.store_epoch:
        return
    stated_ms = _stated_ms(step, heartbeat)
    if heartbeat.confirmed_age_ms is None or stated_ms is None:
        return
    confirmed_ms = stated_ms - heartbeat.confirmed_age_ms
    if heartbeat.confirmed_version > heartbeat.held_version:
        _take_refusal(step, peer, heartbeat, confirmed_ms)
        return
    if heartbeat.held_version <= step.state.newest_version:
        _confirm(step, heartbeat.confirmed_revision, confirmed_ms)
        return
    # While versions follow each other faster than they travel, peers are always a version ahead.
    # Without their statements the knowledge of such a node would grow old until the last version.
    confirmation = Confirmation(heartbeat.confirmed_revision, confirmed_ms)
    statement = PeerStatement(heartbeat.held_version, confirmation)
    statements = step.state.peer_statements.set(peer.link_id, statement)
    step.update(peer_statements=statements)


def _take_refusal(step: Step, peer: Neighbour, heartbeat: Heartbeat, confirmed_ms: float) -> None:
    """Take over that the newest version is one that the peer has refused."""
    step.note_refused(heartbeat.confirmed_version, peer.node_id)
    state = step.state
    seen = state.held_version >= state.refused_version or state.refused_version in state.refused
    # A node that has not seen the version reads from before it when it is to read: it may be of a
    # release that accepts it.
    _confirm(step, heartbeat.confirmed_revision if seen else 0, confirmed_ms)


def apply_peer_statements(step: Step) -> None:
    """Take over what peers stated of the version that is held now, or of older ones."""
    for link_id, statement in step.state.peer_statements.items():
        if statement.version <= step.state.held_version:
            confirmed_ms = statement.confirmation.confirmed_ms
            assert confirmed_ms is not None
            _confirm(step, statement.confirmation.revision, confirmed_ms)
            drop_peer_statement(step, link_id)


def drop_peer_statement(step: Step, link_id: str) -> None:
    """Forget what the peer of a link stated."""
    if link_id in step.state.peer_statements:
        step.update(peer_statements=step.state.peer_statements.delete(link_id))


def _stated_ms(step: Step, heartbeat: Heartbeat) -> float | None:
    """Return a moment at which a heartbeat had certainly not been sent yet, or ``None``.

    It may have waited in a socket or a paused process for any time, so its arrival proves nothing.
    Its sender had received the heartbeat that it echoes, which this node had sent before.
    """
    if heartbeat.number:
        return step.echo_sent_ms
    # A peer of a version without numbers echoes nothing.
    return None if _is_strict(step) else step.now_ms


def _confirm(step: Step, revision: int, confirmed_ms: float) -> None:
    """Take over a confirmation that also holds for the version held here, unless it is older."""
    known = step.state.confirmation
    if known.confirmed_ms is None or confirmed_ms > known.confirmed_ms:
        step.update(confirmation=Confirmation(max(revision, known.revision), confirmed_ms))
    elif revision > known.revision:
        step.update(confirmation=Confirmation(revision, known.confirmed_ms))
