"""Replicas: connections, what is believed of them, and which one to use."""
