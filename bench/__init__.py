"""Measurements: `python -m bench.NAME [--quick]`."""
