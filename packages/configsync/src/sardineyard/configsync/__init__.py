"""Synchronization of the configuration document from the platform and from peers."""
