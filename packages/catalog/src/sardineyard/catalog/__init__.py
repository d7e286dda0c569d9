"""Configuration and upstreams, kept up to date from the store and from peers."""
