"""Submission ids, forwarding of jobs to the owner of their id, and kept answers."""
