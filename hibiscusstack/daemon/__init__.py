"""The daemon ``hibiscusd``."""
