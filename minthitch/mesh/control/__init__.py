"""The control plane: consensus, configuration, service registry, ownership of idempotency keys; durable."""
