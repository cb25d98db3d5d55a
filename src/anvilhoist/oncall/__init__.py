"""Command for on-call engineers: checks, fleet status, request histories, scores."""
