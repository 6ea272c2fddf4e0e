"""Tiers, fleets and crowds in virtual time, round the real engine and decisions. docs/design/lab.md."""
