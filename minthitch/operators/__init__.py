"""The operators' own listener, apart from callers': `[operators]` in the operator file. Off by default."""
