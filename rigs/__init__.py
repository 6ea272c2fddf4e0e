"""Stand-ins, scripted peers and load, on loopback only: for tests, measurements and the demo."""
