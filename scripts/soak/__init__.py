"""Seeded faults on a site of real processes, with an audit of what it did."""
