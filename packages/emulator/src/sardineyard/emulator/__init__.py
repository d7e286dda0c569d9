"""Simulation of a lockstep group of ranks and its gateways over whole days."""
