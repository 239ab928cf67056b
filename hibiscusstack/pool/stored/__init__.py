"""Jobs that are kept in the log: accepted at once, run later, asked for by id."""
