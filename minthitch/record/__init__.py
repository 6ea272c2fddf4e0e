"""The store of record: a durable log of calls and their outcomes. See docs/design/record.md."""
