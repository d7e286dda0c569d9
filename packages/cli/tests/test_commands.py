"""Tests of the commands as an operator runs them."""

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

    Run = Callable[..., tuple[int, str, str]]


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_settings_are_checked_without_a_start(
    run: Run, examples: Path, role: str
) -> None:
    """Guards against examples that the command refuses."""
    code, output, _ = run(role, "--settings", examples / f"{role}.ini", "--check")
    assert (code, "valid" in output) == (ExitCode.OK, True)


def test_wrong_settings_are_all_listed_before_a_start(run: Run, tmp_path: Path) -> None:
    """Guards against a daemon that starts with settings it does not understand."""
    path = tmp_path / "entry.ini"
    path.write_text("[logging]\nlevel = loud\n[entry]\ncaller_address = here\n")
    code, _, errors = run("entry", "--settings", path)
    assert code == ExitCode.USAGE
    assert "[logging] level: 'loud'" in errors
    assert "[entry] caller_address: 'here'" in errors
    assert "[process] id: required option is missing" in errors


@pytest.mark.parametrize(
    ("words", "expected"),
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
def test_each_failure_has_its_exit_code(
    run: Run, words: list[str], expected: ExitCode
) -> None:
    """Guards against scripts that cannot tell a typing error from an outage."""
    assert run(*words)[0] == expected
    assert set(MEANINGS) == set(ExitCode)


def test_documents_are_checked_and_compared(
    run: Run, examples: Path, tmp_path: Path
) -> None:
    """Guards against violations and differences that a script does not see."""
    good = examples / "lookups-first.json"
    tree = json.loads(good.read_bytes())
    tree["teams"][0]["weight"] = 3.0
    tree["teams"][1]["key_sha256"] = "0" * 64
    changed = tmp_path / "changed.json"
    changed.write_text(json.dumps(tree))
    code, output, _ = run("config", "diff", good, changed)
    assert code == ExitCode.DIFFERENT
    assert "~ teams[front-desk].weight: 8.0 -> 3.0" in output
    assert '-> "00000000..."' in output
    assert "0" * 64 not in output
    assert run("config", "diff", good, good)[0] == ExitCode.OK
    tree["teams"][0]["weight"] = "<error>"
    changed.write_text(json.dumps(tree))
    code, _, errors = run("config", "check", good, changed)
    assert code == ExitCode.INVALID_DOCUMENT
    assert '$.teams[0].weight: Expected `float`, got `str` (value "<error>")' in errors


def test_a_shown_document_holds_no_hash_of_a_key(run: Run, examples: Path) -> None:
    """Guards against hashes in output that operators paste into tickets."""
    path = examples / "lookups-first.json"
    _, output, _ = run("config", "show", path)
    for team in json.loads(path.read_bytes())["teams"]:
        assert team["key_sha256"] not in output
        assert team["id"] in output


def test_a_state_dump_is_printed_as_json_and_as_tables(
    run: Run, admin: Address
) -> None:
    """Guards against a dump that operators must decode by themselves."""
    code, output, _ = run("state", admin)
    assert (code, json.loads(output)["document"]["version"]) == (ExitCode.OK, 7)
    code, output, _ = run("state", admin, "--table")
    assert code == ExitCode.OK
    assert "runner-1  suspect  3" in output
    assert "0.01235" in output
    assert "\x1b" not in output


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_shell_completion_knows_the_commands(run: Run, shell: str) -> None:
    """Guards against a completion script that cannot be made."""
    code, output, _ = run("completions", shell)
    assert code == ExitCode.OK
    assert "console" in output


@pytest.mark.parametrize("module", ["sardineyard.entry", "sardineyard.agent"])
def test_a_daemon_does_not_import_the_command_line(module: str) -> None:
    """Guards against 13 MB of cleo in each daemon."""
    script = (
        f"import sys, {module}.daemon; "
        "print([m for m in sys.modules if m.split('.')[0] in ('cleo', 'pydantic')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=30
    )
    assert (done.stdout.strip(), done.returncode) == ("[]", 0), done.stderr
