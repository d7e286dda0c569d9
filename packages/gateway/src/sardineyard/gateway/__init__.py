"""The gateway: it forwards the requests of callers to upstreams."""
