"""HTTP/1.1: messages, servers and client connections."""
