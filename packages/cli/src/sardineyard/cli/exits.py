"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit code of a command; 0 to 3 have the same meaning for the daemons."""

    OK = 0
    # Unexpected error, or failure of a task of a daemon.
    FAILED = 1
    # Unknown command, invalid arguments or invalid settings; the errors are printed.
    USAGE = 2
    # A daemon stopped while requests were still open.
    REQUESTS_CUT = 3
    # The document cannot be read or is invalid; the violations are printed.
    INVALID_DOCUMENT = 4
    # No process responded at the address, or the response was unusable.
    UNREACHABLE = 5
    # `config diff` found differences.
    DIFFERENT = 6


MEANINGS = {
    ExitCode.OK: "success, or a daemon that stopped with no request cut short",
    ExitCode.FAILED: "unexpected error",
    ExitCode.USAGE: "wrong command or arguments, or invalid settings",
    ExitCode.REQUESTS_CUT: "a daemon stopped before its open requests had ended",
    ExitCode.INVALID_DOCUMENT: "document unreadable or invalid",
    ExitCode.UNREACHABLE: "no usable response from the process",
    ExitCode.DIFFERENT: "the documents differ",
}


def exit_code_help() -> str:
    """Return the exit codes and their meanings as lines of a help text."""
    return "\n".join(f"  {code.value}  {MEANINGS[code]}" for code in ExitCode)
