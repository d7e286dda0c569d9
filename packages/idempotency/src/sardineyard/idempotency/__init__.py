"""Ownership, table and lease of idempotency keys."""
