"""The entry daemon: callers in, sessions to agents out."""
