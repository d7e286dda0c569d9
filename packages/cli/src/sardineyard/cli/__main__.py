"""Entry point of `sardineyard` and of `python -m sardineyard.cli`."""

import sys

from sardineyard.cli.app import CommandLine


def main() -> None:
    """Run the command that the arguments name and exit with its exit code."""
    sys.exit(CommandLine().run())


if __name__ == "__main__":
    main()
