"""Sends snapshots in chunks, assembles received ones and writes snapshots to the store."""

from __future__ import annotations

from dataclasses import replace

from bamboonotch_core.configuration import digest_document, encode_snapshot
from bamboonotch_core.distribution._state import SnapshotAssembly
from bamboonotch_core.distribution._step import Step
from bamboonotch_core.distribution._view import Neighbour
from bamboonotch_core.effects import WriteSnapshot
from bamboonotch_core.messages import SnapshotChunk

__all__ = [
    "MAX_CHUNKS",
    "MAX_CHUNK_BYTES",
    "add_chunk",
    "advance_snapshot_writing",
    "chunk_fault",
    "note_stored_snapshot",
    "send_snapshot",
]

MAX_CHUNK_BYTES = 256 * 1024
MAX_CHUNKS = 33
"""A document has at most 8 MiB, and zlib adds less than one chunk to incompressible data."""

DIGEST_CHARACTERS = 64
"""Length of a SHA-256 digest in hexadecimal."""


def _encode_held_document(step: Step) -> bytes:
    """Return the held document compressed; the result is cached for the next peers that ask."""
    version, data = step.state.encoded_snapshot
    if version != step.state.held_version:
        data = encode_snapshot(step.state.held_document)
        step.update(encoded_snapshot=(step.state.held_version, data))
    return data


def send_snapshot(step: Step, peer: Neighbour) -> None:
    """Send the held document to a peer, at most once per half ``distribution.retry_ms``."""
    state = step.state
    version, sent_ms = state.snapshots_sent.get(peer.link_id, (-1, 0.0))
    # The peer may have repeated its request while the answer to the first one was in flight.
    pause_ms = state.settings.distribution.retry_ms / 2
    if version == state.held_version and step.now_ms - sent_ms < pause_ms:
        return
    data = _encode_held_document(step)
    digest = digest_document(state.held_document)
    count = -(-len(data) // MAX_CHUNK_BYTES)
    for index in range(count):
        piece = data[index * MAX_CHUNK_BYTES : (index + 1) * MAX_CHUNK_BYTES]
        step.send(peer.link_id, SnapshotChunk(state.held_version, digest, index, count, piece))
    sent = state.snapshots_sent.set(peer.link_id, (state.held_version, step.now_ms))
    step.update(snapshots_sent=sent)
    step.report(
        "snapshot-sent", version=state.held_version, peer=peer.node_id, size_bytes=len(data)
    )


def chunk_fault(message: SnapshotChunk) -> str:
    """Return why a chunk is malformed, or an empty string if it is well-formed."""
    if not 1 <= message.count <= MAX_CHUNKS or not 0 <= message.index < message.count:
        return f"chunk {message.index} of {message.count}; at most {MAX_CHUNKS} chunks are allowed"
    if not 1 <= len(message.data) <= MAX_CHUNK_BYTES:
        return f"chunk has {len(message.data)} bytes, not 1 to {MAX_CHUNK_BYTES}"
    if message.version < 1 or len(message.digest) != DIGEST_CHARACTERS:
        return (
            f"version {message.version} is below 1, or digest has {len(message.digest)}"
            f" characters instead of {DIGEST_CHARACTERS}"
        )
    return ""


def add_chunk(step: Step, peer: Neighbour, message: SnapshotChunk) -> bytes | None:
    """Add a chunk from the peer that was asked and return the snapshot once it is complete.

    Only the answer to the request in progress is assembled, so that at most one snapshot takes
    memory.

    :returns: the compressed document, or ``None`` while chunks are missing or if nothing was asked
        of this peer.
    """
    wanted = step.state.wanted
    if wanted is None or wanted.link_id != peer.link_id:
        return None
    key = (peer.link_id, message.version, message.digest, message.count)
    assembly = step.state.assembly
    if assembly is None or key != (
        assembly.link_id,
        assembly.version,
        assembly.digest,
        assembly.count,
    ):
        assembly = SnapshotAssembly(*key)
    if message.index not in assembly.chunks:
        assembly = replace(assembly, chunks=assembly.chunks.set(message.index, message.data))
        step.update(wanted=replace(wanted, asked_ms=step.now_ms))
    if len(assembly.chunks) < assembly.count:
        step.update(assembly=assembly)
        return None
    step.update(assembly=None)
    return b"".join(assembly.chunks[index] for index in range(assembly.count))


def note_stored_snapshot(step: Step, version: int) -> None:
    """Note that the store has a snapshot of a version."""
    if version > step.state.stored_snapshot_version:
        step.update(stored_snapshot_version=version)


def advance_snapshot_writing(step: Step) -> None:
    """Write a snapshot to the store when one is due.

    A snapshot is due once the held version has passed a multiple of
    ``distribution.snapshot_interval_versions`` for which no snapshot is known. Only the node with
    the lowest relay slot in the store's region writes it.
    """
    state = step.state
    identity = state.settings.identity
    if not step.view.is_lowest_slot or identity.region != state.settings.store.region:
        return
    if not state.serving or not state.store_reachable:
        return
    interval = state.settings.distribution.snapshot_interval_versions
    if state.held_version // interval <= state.stored_snapshot_version // interval:
        return
    data = _encode_held_document(step)
    step.emit(WriteSnapshot(state.held_version, digest_document(state.held_document), data))
    note_stored_snapshot(step, state.held_version)
    step.report("snapshot-written", version=state.held_version, size_bytes=len(data))
