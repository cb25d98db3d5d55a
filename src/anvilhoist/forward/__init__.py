"""Forward a caller's request to one replica, or to one replica of each shard."""
