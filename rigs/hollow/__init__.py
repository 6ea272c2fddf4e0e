"""Real control processes on loopback with hollow sidecars: whole sidecars without HTTP listeners, many in a
process.
"""
