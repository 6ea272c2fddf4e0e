"""rudderflow: the decisions of a load balancer for services that call services."""

from rudderflow.policy import Balancer

__all__ = ["Balancer"]
