"""The real node: sockets, timers and HTTP round one Balancer."""
