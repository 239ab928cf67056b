"""The configuration log: its records, the chain of versions and publications."""
