"""Process settings, the replicated configuration, the routing table, HTTP calls and error kinds."""
