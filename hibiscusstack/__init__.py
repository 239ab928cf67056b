"""A dispatcher for sub-second tasks: every accepted task runs once."""
