"""A small mesh on loopback: real control nodes and sidecars, stand-in servers, an operator, clients, a
loss.
"""
