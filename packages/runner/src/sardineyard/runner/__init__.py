"""Protocols of model runners and plain services."""
