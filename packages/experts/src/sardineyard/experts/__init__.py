"""Placement of expert replicas on ranks, rebalancing and commit of expert maps."""
