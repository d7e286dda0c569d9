"""Names of the users' pages, by what they stand for."""

from __future__ import annotations

import tomllib
from pathlib import Path

_TABLES = tomllib.loads((Path(__file__).parent / "names.toml").read_text())
HEADER: dict[str, str] = _TABLES["header"]
PATH: dict[str, str] = _TABLES["path"]
FIELD: dict[str, str] = _TABLES["field"]
SETTINGS: dict[str, str] = _TABLES["settings"]
ENGINE: dict[str, object] = _TABLES["engine"]
