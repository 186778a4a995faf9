"""The process beside each backend server."""

from bamboonotch_node import _grpc_threads  # noqa: F401
