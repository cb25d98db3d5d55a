"""A small site on loopback with stand-ins of the users' store, replicas, callers."""
