"""Snapshots of what a node has learned, and their validation and use after a crash (extra `recovery`)."""
