"""Stand-ins for external systems in tests, the demo and benchmarks."""
