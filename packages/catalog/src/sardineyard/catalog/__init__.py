"""The configuration and the upstreams, followed at the store and among peers."""
