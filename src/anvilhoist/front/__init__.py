"""The front: the process on each VM that serves callers."""
