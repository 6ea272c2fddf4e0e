"""Limits: retries and hedged requests of one sidecar, and the load of a server. No I/O and no clock."""
