"""The client library: an engine on its own event loop and thread, called from the host's threads and loops.

`Client` and `BlockingClient` are public, exported by `minthitch`; everything else here is private.
"""
