"""Generate the committed protobuf and grpclib code of the wire library."""

import sys
from pathlib import Path

from grpc_tools import protoc

WIRE = Path(__file__).resolve().parent.parent / "packages" / "wire"
OUT = WIRE / "src"


def main() -> int:
    """Run the protobuf compiler on every proto file."""
    protos = sorted(str(path) for path in (WIRE / "protos").rglob("*.proto"))
    return int(
        protoc.main(
            [
                "protoc",
                f"--proto_path={WIRE / 'protos'}",
                f"--python_out={OUT}",
                f"--pyi_out={OUT}",
                f"--grpclib_python_out={OUT}",
                *protos,
            ]
        )
    )


if __name__ == "__main__":
    sys.exit(main())
