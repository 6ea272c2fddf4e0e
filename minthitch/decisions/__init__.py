"""The balancer's decisions, one module per concern, with as few imports between them as possible."""
