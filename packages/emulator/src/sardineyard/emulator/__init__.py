"""Days of a lock-step group and its gateways, played in simulated time."""
