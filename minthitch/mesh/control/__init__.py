"""The control plane: replicated configuration and idempotency claims, and the service registry."""
