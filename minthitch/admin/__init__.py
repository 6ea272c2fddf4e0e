"""What staff ask of a running node: one line in, an answer out. Loaded only where an address is given."""
