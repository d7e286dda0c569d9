"""The gateway: forwards requests of callers to upstreams."""
