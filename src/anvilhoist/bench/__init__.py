"""Stand-ins of the systems around the tier, with a load and experiment tool.

Nothing in this package runs in production.
"""
