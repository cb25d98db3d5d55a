"""Translation to and from the platform's formats and names on the wire.

No other folder knows them.
"""
