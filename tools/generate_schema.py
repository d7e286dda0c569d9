"""Write the JSON Schema of the configuration document."""

from pathlib import Path

from sardineyard.document.codec import encode_schema

TARGET = Path(__file__).parents[1] / "docs" / "config.schema.json"

if __name__ == "__main__":
    TARGET.write_bytes(encode_schema())
