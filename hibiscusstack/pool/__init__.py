"""Pools of targets with leases: their jobs, the coordinator and its election."""
