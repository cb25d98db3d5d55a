"""From a caller's request to its answer: one replica, or one of each shard."""
