"""The HTTP node: sockets, timers and HTTP around one Balancer."""
