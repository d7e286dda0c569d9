"""Idempotency keys: their owners, the table of their calls and the address lease."""
