"""Observed state of targets: run times, health and the outcome of tasks."""
