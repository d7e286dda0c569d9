"""Decision logic of a gateway, independent of sockets and wire formats."""
