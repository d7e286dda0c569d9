"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Tell a script how a command ended; 0 to 3 are those of the daemons as well."""

    OK = 0
    # An error that the command does not expect, or a task of a daemon that failed.
    FAILED = 1
    # Wrong command or arguments, or settings with errors, which are listed.
    USAGE = 2
    # A daemon stopped before its open requests had ended.
    REQUESTS_CUT = 3
    # The document cannot be read or is invalid; the violations are listed.
    INVALID_DOCUMENT = 4
    # No process answered at the address, or not with what was asked for.
    UNREACHABLE = 5
    # `config diff` found differences.
    DIFFERENT = 6


MEANINGS = {
    ExitCode.OK: "success, or a daemon that stopped with no request cut short",
    ExitCode.FAILED: "unexpected error",
    ExitCode.USAGE: "wrong command or arguments, or invalid settings",
    ExitCode.REQUESTS_CUT: "a daemon stopped before its open requests had ended",
    ExitCode.INVALID_DOCUMENT: "document unreadable or invalid",
    ExitCode.UNREACHABLE: "no usable answer from the process",
    ExitCode.DIFFERENT: "the documents differ",
}


def exit_code_help() -> str:
    """Return the exit codes as lines for a help text."""
    return "\n".join(f"  {code.value}  {MEANINGS[code]}" for code in ExitCode)
