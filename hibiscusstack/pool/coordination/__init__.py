"""The decisions of a coordinator; all modules act on one ``CoordinatorState``."""
