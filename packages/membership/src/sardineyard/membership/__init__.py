"""Failure detection: which upstreams are alive and eligible for requests."""
