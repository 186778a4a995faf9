"""Work of the commands show, diff and versions."""

from __future__ import annotations

from bamboonotch_cli.results import DifferencesShown, DocumentShown, VersionsListed
from bamboonotch_cli.session import Session
from bamboonotch_core.configuration import diff_documents

__all__ = ["diff_versions", "list_versions", "show_version"]


async def show_version(session: Session, version: int | None) -> DocumentShown:
    """Read the document of a version.

    :param session: the session.
    :param version: the version, or ``None`` for the newest.
    """
    log = await session.open_log()
    state = await (log.load_newest() if version is None else log.load_version(version))
    return DocumentShown(state.version, state.document)


async def diff_versions(session: Session, old_version: int, new_version: int) -> DifferencesShown:
    """Compare two versions.

    :param session: the session.
    :param old_version: the earlier version.
    :param new_version: the later version.
    """
    log = await session.open_log()
    old = await log.load_version(old_version)
    new = await log.load_version(new_version)
    differences = diff_documents(old.document, new.document)
    return DifferencesShown(old_version, new_version, differences)


async def list_versions(session: Session, limit: int) -> VersionsListed:
    """List the newest versions.

    :param session: the session.
    :param limit: versions at most.
    """
    return VersionsListed(await (await session.open_log()).list_versions(limit))
