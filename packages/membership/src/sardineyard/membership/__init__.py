"""Failure detection and the set of known upstreams."""
