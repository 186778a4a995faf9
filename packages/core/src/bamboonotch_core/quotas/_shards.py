"""Which workspaces have a limit, and which shard each belongs to."""

from __future__ import annotations

from hashlib import blake2b

from bamboonotch_core.configuration import Configuration, Workspace

__all__ = ["find_limited", "has_limits", "shard_of"]

HASH_BYTES = 8


def shard_of(workspace: str, shards: int) -> int:
    """Return the shard of a workspace.

    :param workspace: name of the workspace.
    :param shards: number of shards.
    """
    digest = blake2b(workspace.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") % shards


def find_limited(configuration: Configuration, name: str) -> Workspace | None:
    """Return a workspace if it has a limit.

    :param configuration: the running configuration.
    :param name: name of the workspace, or empty.
    """
    workspace = configuration.workspaces.get(name) if name else None
    return workspace if workspace is not None and workspace.rate_per_s > 0 else None


def has_limits(configuration: Configuration) -> bool:
    """Tell whether any workspace has a limit.

    :param configuration: the running configuration.
    """
    return any(workspace.rate_per_s > 0 for workspace in configuration.workspaces.values())
