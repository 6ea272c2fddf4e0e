"""Operators' listener, separate from that for callers: `[operators]` in the operator file. Off by default."""
