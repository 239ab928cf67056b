"""How costs grow with size: measured at several sizes and fitted to a line."""
