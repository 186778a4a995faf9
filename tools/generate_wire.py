"""Generate the protobuf and gRPC modules of bamboonotch_wire.

The output is committed, so that neither a build nor a test needs the generator.
"""

from __future__ import annotations

import sys
from pathlib import Path

from grpc_tools import protoc  # type: ignore[import-untyped]

SOURCE = Path(__file__).resolve().parent.parent / "packages" / "wire" / "src"
PROTO = SOURCE / "bamboonotch_wire" / "bamboonotch.proto"


def main() -> int:
    """Run the generator and return its exit status."""
    return int(
        protoc.main(
            [
                "protoc",
                f"--proto_path={SOURCE}",
                f"--python_out={SOURCE}",
                f"--pyi_out={SOURCE}",
                f"--grpc_python_out={SOURCE}",
                str(PROTO),
            ]
        )
    )


if __name__ == "__main__":
    sys.exit(main())
