"""Run an agent: python -m sardineyard.agent --settings FILE."""

import sys

from sardineyard.agent.daemon import AgentDaemon
from sardineyard.daemon.main import run_main
from sardineyard.settings.processes import read_agent_settings

if __name__ == "__main__":
    sys.exit(run_main("agent", read_agent_settings, AgentDaemon))
