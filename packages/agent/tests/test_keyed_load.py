"""Short load test of calls with idempotency keys under random faults."""

from random import SystemRandom

from sardineyard.standins.fleet import FleetSpec
from sardineyard.standins.keyed_fleet import KeyedFleet
from sardineyard.standins.keyed_load import KeyedLoad, LoadResult

_SPEC = FleetSpec(entries=2, model_runners=0, booking_runners=3)


def test_no_call_runs_twice_under_random_faults(run_fleet) -> None:
    """Guards against second runs in combinations of faults not tested elsewhere."""
    seed = SystemRandom().randrange(2**32)
    print(f"seed: {seed}")

    async def scenario(fleet: KeyedFleet) -> LoadResult:
        return await KeyedLoad(fleet, seed).run(count=400, per_s=40.0)

    result = run_fleet(_SPEC, scenario, KeyedFleet)
    print("\n".join(result.report_lines()))
    assert result.is_consistent
    assert sum(result.faults.values()) > 0
