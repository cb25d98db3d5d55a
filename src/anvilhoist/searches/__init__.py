"""Searches and bookings over replicas that one VM each owns."""
