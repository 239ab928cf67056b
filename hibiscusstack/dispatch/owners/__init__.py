"""The owner host of each job: placement of its tasks, recovery and the answer."""
