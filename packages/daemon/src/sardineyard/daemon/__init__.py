"""Lifecycle and admin server that all daemons share."""
