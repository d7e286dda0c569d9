"""Tests of the commands through the command line."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from sardineyard.cli.exits import MEANINGS, ExitCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sardineyard.core.address import Address

    RunCommand = Callable[..., tuple[int, str, str]]


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_check_validates_example_settings(
    run: RunCommand, examples: Path, role: str
) -> None:
    """Guards against example settings that --check rejects."""
    code, output, _ = run(role, "--settings", examples / f"{role}.ini", "--check")
    assert (code, "valid" in output) == (ExitCode.OK, True)


def test_invalid_settings_are_reported_and_prevent_the_start(
    run: RunCommand, tmp_path: Path
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    path = tmp_path / "entry.ini"
    path.write_text("[logging]\nlevel = loud\n[entry]\ncaller_address = here\n")
    code, _, errors = run("entry", "--settings", path)
    assert code == ExitCode.USAGE
    assert "[logging] level: 'loud'" in errors
    assert "[entry] caller_address: 'here'" in errors
    assert "[process] id: required option is missing" in errors


@pytest.mark.parametrize(
    ("args", "expected"),
    [
        (["no-such-command"], ExitCode.USAGE),
        (["entry"], ExitCode.USAGE),
        (["entry", "--no-such-option"], ExitCode.USAGE),
        (["entry", "--settings", "/nonexistent"], ExitCode.USAGE),
        (["state", "somewhere"], ExitCode.USAGE),
        (["state", "127.0.0.1:1"], ExitCode.UNREACHABLE),
        (["config", "check", "/nonexistent"], ExitCode.INVALID_DOCUMENT),
        (["--help"], ExitCode.OK),
    ],
)
def test_exit_code_tells_the_kind_of_failure(
    run: RunCommand, args: list[str], expected: ExitCode
) -> None:
    """Guards against scripts that cannot tell a usage error from an outage."""
    assert run(*args)[0] == expected
    assert set(MEANINGS) == set(ExitCode)


def test_config_check_and_diff_report_by_exit_code(
    run: RunCommand, examples: Path, tmp_path: Path
) -> None:
    """Guards against violations and differences that the exit code does not report."""
    valid = examples / "lookups-first.json"
    tree = json.loads(valid.read_bytes())
    tree["teams"][0]["weight"] = 3.0
    tree["teams"][1]["key_sha256"] = "0" * 64
    changed = tmp_path / "changed.json"
    changed.write_text(json.dumps(tree))
    code, output, _ = run("config", "diff", valid, changed)
    assert code == ExitCode.DIFFERENT
    assert "~ teams[front-desk].weight: 8.0 -> 3.0" in output
    assert '-> "00000000..."' in output
    assert "0" * 64 not in output
    assert run("config", "diff", valid, valid)[0] == ExitCode.OK
    tree["teams"][0]["weight"] = "<error>"
    changed.write_text(json.dumps(tree))
    code, _, errors = run("config", "check", valid, changed)
    assert code == ExitCode.INVALID_DOCUMENT
    assert '$.teams[0].weight: Expected `float`, got `str` (value "<error>")' in errors


def test_config_show_truncates_key_hashes(run: RunCommand, examples: Path) -> None:
    """Guards against key hashes in output, which operators may paste into tickets."""
    path = examples / "lookups-first.json"
    _, output, _ = run("config", "show", path)
    for team in json.loads(path.read_bytes())["teams"]:
        assert team["key_sha256"] not in output
        assert team["id"] in output


def test_state_dump_is_printed_as_json_and_as_tables(
    run: RunCommand, admin_server: Address
) -> None:
    """Guards against unreadable output and control characters in tables."""
    code, output, _ = run("state", admin_server)
    assert (code, json.loads(output)["document"]["version"]) == (ExitCode.OK, 7)
    code, output, _ = run("state", admin_server, "--table")
    assert code == ExitCode.OK
    assert "runner-1  suspect  3" in output
    assert "0.01235" in output
    assert "\x1b" not in output


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_shell_completion_lists_the_commands(run: RunCommand, shell: str) -> None:
    """Guards against a completion script that cannot be generated."""
    code, output, _ = run("completions", shell)
    assert code == ExitCode.OK
    assert "console" in output


@pytest.mark.parametrize("module", ["sardineyard.entry", "sardineyard.agent"])
def test_daemons_do_not_import_cleo_or_pydantic(module: str) -> None:
    """Guards against 13 MB of memory for cleo in each daemon."""
    script = (
        f"import sys, {module}.daemon; "
        "print([m for m in sys.modules if m.split('.')[0] in ('cleo', 'pydantic')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=30
    )
    assert (result.stdout.strip(), result.returncode) == ("[]", 0), result.stderr
