"""The decisions of a coordinator, each in a module over one state of its term."""
