"""Count executions and outcomes of calls with idempotency keys under random faults."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

from sardineyard.standins.fleet import FleetSpec
from sardineyard.standins.keyed_fleet import KeyedFleet
from sardineyard.standins.keyed_load import KeyedLoad

_SPEC = FleetSpec(entries=3, model_runners=0, booking_runners=3, booking_delay_s=0.05)


async def _run(calls: int, per_s: float, seed: int) -> bool:
    with tempfile.TemporaryDirectory(prefix="sardineyard-") as folder:
        async with KeyedFleet(_SPEC, Path(folder)) as fleet:
            result = await KeyedLoad(fleet, seed).run(calls, per_s)
    print("\n".join(result.report_lines()))
    return result.is_consistent


def main() -> int:
    """Run the load and return 0 if the idempotency guarantees held, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--per-s", type=float, default=80.0)
    parser.add_argument("--seed", type=int, default=SystemRandom().randrange(2**32))
    options = parser.parse_args()
    print(f"seed: {options.seed}", flush=True)
    return 0 if asyncio.run(_run(options.calls, options.per_s, options.seed)) else 1


if __name__ == "__main__":
    sys.exit(main())
