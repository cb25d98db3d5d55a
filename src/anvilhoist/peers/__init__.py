"""The other VMs of the tier: heartbeats, and what they have read."""
