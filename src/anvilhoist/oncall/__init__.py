"""The operators' command: checks, fleet status, request histories, scored rounds."""
