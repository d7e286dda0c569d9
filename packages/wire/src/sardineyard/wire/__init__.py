"""gRPC messages between the processes and their conversion to core types."""
