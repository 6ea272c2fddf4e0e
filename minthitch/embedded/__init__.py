"""The library: one engine on a loop and thread of its own, called from the host's threads and loops.

`Client` and `BlockingClient` are public, by `minthitch`; all else here is private.
"""
