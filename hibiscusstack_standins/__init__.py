"""Small stand-ins for the outside systems that the dispatcher talks to."""
