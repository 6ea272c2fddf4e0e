"""The data plane: a proxy beside each server, for its incoming and outgoing calls."""
