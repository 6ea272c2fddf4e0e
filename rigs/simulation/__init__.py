"""Runs the real mesh programs on a simulated event loop, injects faults, and checks the recorded history."""
