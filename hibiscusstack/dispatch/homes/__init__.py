"""The home host of each target: assignment, batches, slots, starts, work transfer."""
