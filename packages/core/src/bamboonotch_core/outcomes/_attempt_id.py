"""Attempt ids.

An id is ``<request id>.<ingress tag>.<sequence>.<owner incarnation>``. The tag names the ingress
process, and the sequence rises with each attempt of that process. The owner uses both to tell
whether an attempt that it does not remember can be one that it has forgotten.
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

TAG_BYTES = 4  # ingress processes that share a tag only make fences answer unknown more often
MAX_NUMBER_CHARACTERS = 20


@dataclass(frozen=True)
class AttemptName:
    """The parts of an attempt id.

    :param request_id: the request.
    :param ingress_tag: names the process of the ingress node.
    :param sequence: number of the attempt among all of that process.
    :param owner_incarnation: incarnation of the owner that it is addressed to.
    """

    request_id: str
    ingress_tag: str
    sequence: int
    owner_incarnation: int


def make_ingress_tag(node_id: str, seed: int) -> str:
    """Return the tag of an ingress process.

    :param node_id: the node.
    :param seed: the seed of the process.
    """
    text = f"{node_id}\n{seed}".encode()
    return hashlib.blake2b(text, digest_size=TAG_BYTES).hexdigest()


def make_attempt_id(
    request_id: str, ingress_tag: str, sequence: int, owner_incarnation: int
) -> str:
    """Make an attempt id.

    :param request_id: the request.
    :param ingress_tag: names the process of the ingress node.
    :param sequence: number of the attempt among all of that process.
    :param owner_incarnation: incarnation of the owner that it is addressed to.
    """
    return f"{request_id}.{ingress_tag}.{sequence}.{owner_incarnation}"


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_CHARACTERS


def parse_attempt_id(attempt_id: str) -> AttemptName | None:
    """Return the parts of an attempt id, or ``None`` when it does not have them.

    :param attempt_id: the id, which another node may have sent.
    """
    parts = attempt_id.rsplit(".", 3)
    if len(parts) != 4 or not _is_number(parts[2]) or not _is_number(parts[3]):
        return None
    return AttemptName(parts[0], parts[1], int(parts[2]), int(parts[3]))


def attempt_owner_incarnation(attempt_id: str) -> int | None:
    """Return the incarnation that an attempt is addressed to, or ``None`` when it names none.

    :param attempt_id: the id.
    """
    name = parse_attempt_id(attempt_id)
    return None if name is None else name.owner_incarnation


def supersedes_attempt(new_id: str, old_id: str) -> bool:
    """Tell whether one attempt proves that another attempt did not run.

    An ingress sends a second attempt of non-idempotent work only after a proof that the first one
    was not run, so a later attempt of the same request may take over its claim.

    :param new_id: the attempt that wants the claim.
    :param old_id: the attempt that holds it.
    """
    new = parse_attempt_id(new_id)
    old = parse_attempt_id(old_id)
    if new is None or old is None:
        return False
    same_request = (new.request_id, new.ingress_tag) == (old.request_id, old.ingress_tag)
    return same_request and new.sequence > old.sequence
