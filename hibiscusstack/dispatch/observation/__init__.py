"""What a host learns of its targets: run times, health, what became of tasks."""
