"""Command line of the entry daemon: python -m sardineyard.entry --settings FILE."""

import sys

from sardineyard.daemon.main import run_main
from sardineyard.entry.daemon import EntryDaemon
from sardineyard.settings.processes import read_entry_settings

if __name__ == "__main__":
    sys.exit(run_main("entry", read_entry_settings, EntryDaemon))
