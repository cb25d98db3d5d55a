"""What this process knows: configuration, replicas and data centres taken out."""
