"""Admission of jobs, estimates of their waits, and the choice of homes for tasks."""
