"""Decisions of a gateway, free of sockets and encodings."""
