"""Attempt ids.

An id is ``<request id>.<ingress tag>.<sequence>.<owner incarnation>``. The tag identifies the
ingress process, and the sequence number increases with each attempt of that process. An owner that
has no record of an attempt uses both to decide whether it may have had one and deleted it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

__all__ = [
    "AttemptName",
    "attempt_owner_incarnation",
    "make_attempt_id",
    "make_ingress_tag",
    "parse_attempt_id",
    "supersedes_attempt",
]

TAG_BYTES = 4  # when ingress processes share a tag, fences only return UNKNOWN more often
MAX_NUMBER_CHARACTERS = 20


@dataclass(frozen=True)
class AttemptName:
    """The parts of an attempt id.

    :param ingress_tag: tag of the ingress process.
    :param sequence: number of the attempt among all attempts of that process.
    :param owner_incarnation: incarnation of the owner that the attempt is addressed to.
    """

    request_id: str
    ingress_tag: str
    sequence: int
    owner_incarnation: int


def make_ingress_tag(node_id: str, seed: int) -> str:
    """Return the tag of an ingress process.

    :param node_id: id of the ingress node.
    :param seed: random seed, different for each start of the process.
    :returns: a hash in hexadecimal, two characters for each of its ``TAG_BYTES`` bytes.
    """
    text = f"{node_id}\n{seed}".encode()
    return hashlib.blake2b(text, digest_size=TAG_BYTES).hexdigest()


def make_attempt_id(
    request_id: str, ingress_tag: str, sequence: int, owner_incarnation: int
) -> str:
    """Make an attempt id.

    :param ingress_tag: tag of the ingress process.
    :param sequence: number of the attempt among all attempts of that process.
    :param owner_incarnation: incarnation of the owner that the attempt is addressed to.
    :returns: the id in the format that the module describes.
    """
    return f"{request_id}.{ingress_tag}.{sequence}.{owner_incarnation}"


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_CHARACTERS


def parse_attempt_id(attempt_id: str) -> AttemptName | None:
    """Parse an attempt id.

    :param attempt_id: the id, which may come from another node and may be malformed.
    :returns: the parts of the id, or ``None`` when it is malformed.
    """
    parts = attempt_id.rsplit(".", 3)
    if len(parts) != 4 or not _is_number(parts[2]) or not _is_number(parts[3]):
        return None
    return AttemptName(parts[0], parts[1], int(parts[2]), int(parts[3]))


def attempt_owner_incarnation(attempt_id: str) -> int | None:
    """Return the incarnation of the owner that an attempt is addressed to.

    :returns: the incarnation, or ``None`` when the id is malformed.
    """
    name = parse_attempt_id(attempt_id)
    return None if name is None else name.owner_incarnation


def supersedes_attempt(new_id: str, old_id: str) -> bool:
    """Return whether an attempt proves that an earlier attempt was not run.

    An ingress sends a second attempt of non-idempotent work only after a proof that the first one
    was not run. A later attempt of the same request may therefore take over its claim.

    :param new_id: id of the attempt that requests the claim.
    :param old_id: id of the attempt that holds the claim.
    """
    new = parse_attempt_id(new_id)
    old = parse_attempt_id(old_id)
    if new is None or old is None:
        return False
    same_request = (new.request_id, new.ingress_tag) == (old.request_id, old.ingress_tag)
    return same_request and new.sequence > old.sequence
