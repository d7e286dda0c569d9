"""HTTP/1.1 server and client tasks that own their sockets."""
