"""Daemon next to each upstream: request queue, idempotency keys, map changes."""
