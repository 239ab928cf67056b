"""A home's queue: shares by class and team, the lines of tasks, credit."""
