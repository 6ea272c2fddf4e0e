"""Connections between the mesh's own processes: msgpack messages, split into frames and multiplexed."""
