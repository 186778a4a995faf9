"""Admin HTTP interface, for operators and for the local backend server."""

from bamboonotch_node.admin._site import AdminBackend, make_admin_site

__all__ = ["AdminBackend", "make_admin_site"]
