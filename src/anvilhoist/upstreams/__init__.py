"""Replicas: their connections, their estimated health, and the choice among them."""
