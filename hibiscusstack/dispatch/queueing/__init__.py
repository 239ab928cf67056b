"""The fair-share queue of a home: waiting tasks and the credits of each class."""
