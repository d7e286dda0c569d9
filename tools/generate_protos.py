"""Generate the protobuf and grpclib code that is committed in the wire library."""

import sys
from pathlib import Path

from grpc_tools import protoc

WIRE_PACKAGE = Path(__file__).resolve().parent.parent / "packages" / "wire"
OUTPUT = WIRE_PACKAGE / "src"


def main() -> int:
    """Run the protobuf compiler on every proto file."""
    protos = sorted(str(path) for path in (WIRE_PACKAGE / "protos").rglob("*.proto"))
    return int(
        protoc.main(
            [
                "protoc",
                f"--proto_path={WIRE_PACKAGE / 'protos'}",
                f"--python_out={OUTPUT}",
                f"--pyi_out={OUTPUT}",
                f"--grpclib_python_out={OUTPUT}",
                *protos,
            ]
        )
    )


if __name__ == "__main__":
    sys.exit(main())
