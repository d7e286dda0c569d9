"""Placement, rebalancing and commitment of expert maps."""
