"""Stand-in of a backend server that speaks the platform's HTTP and announces itself."""

from bamboonotch_testing.platform_backend._server import (
    ABSENT_NODE,
    Answer,
    Arrival,
    BackendPlan,
    PlatformBackend,
    Run,
    make_body,
)

__all__ = ["ABSENT_NODE", "Answer", "Arrival", "BackendPlan", "PlatformBackend", "Run", "make_body"]
