"""Run the demo: python -m sardineyard.standins [--keep]."""

import argparse
import asyncio
import sys

from sardineyard.standins.demo import run_demo

if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--keep", action="store_true", help="stay up until Ctrl-C")
    sys.exit(asyncio.run(run_demo(keep=parser.parse_args().keep)))
