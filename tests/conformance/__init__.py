"""One suite over every front: the same traces, the same servers, the same outcomes and rules."""
