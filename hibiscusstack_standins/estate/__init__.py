"""A model of the users' platform in virtual time, written from its protocol page."""
