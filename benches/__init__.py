"""Measurements on real processes over loopback."""
