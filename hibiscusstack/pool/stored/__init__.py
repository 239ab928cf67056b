"""Jobs stored in a replicated log: accepted at once, run later, queried by id."""
