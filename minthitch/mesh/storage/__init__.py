"""Durable state of a control node: term, vote, log and snapshot, in one LMDB file with checksums."""
