"""Operators' forms that produce a validated document."""
