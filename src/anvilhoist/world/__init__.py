"""What this process knows: configuration, replicas, data centres out of service."""
