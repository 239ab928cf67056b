"""The owner of jobs: each from the placement of its tasks to its one answer."""
