"""minthitch: the decisions of a load balancer for services that call services."""

from minthitch.policy import Balancer

__all__ = ["Balancer"]
