"""Admin commands to a running node, one line each. Loaded only if an address is configured."""
