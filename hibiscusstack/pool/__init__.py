"""Pools of targets that keep leases: jobs, their coordinator and its election."""
