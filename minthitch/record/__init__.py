"""A store of record: what became of calls whose outcome must not be forgotten. docs/design/record.md."""
