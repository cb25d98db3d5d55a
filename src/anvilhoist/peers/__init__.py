"""The other VMs of the tier: heartbeats, gossip, and reading through them."""
