"""Whether a job is admitted, when it would start, and which homes get its tasks."""
