"""The entry daemon: serves callers over HTTP and forwards their requests to agents."""
