"""The service mesh: a sidecar next to each server, and a replicated control plane."""
