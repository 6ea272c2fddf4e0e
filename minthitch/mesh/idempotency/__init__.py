"""Idempotency keys: which operation owns a key, and its outcome. No I/O and no clock."""
