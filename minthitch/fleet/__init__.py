"""Statistics over many nodes."""
