"""Several processes of the program, their servers and clients, with every link through a relay.

A schedule says which faults come when; what clients and servers saw is one history; `checks` reads only that.
"""
