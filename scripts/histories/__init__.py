"""Runs of real processes under seeded faults, recorded and checked offline."""
