"""The configuration log: its records, the chain all hosts agree on, publications."""
