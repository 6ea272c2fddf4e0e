"""Service registry: the servers and the sidecars beside them. No I/O and no clock."""
