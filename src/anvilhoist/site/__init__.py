"""A small site on loopback: stand-ins of the users' store, replicas and callers."""
