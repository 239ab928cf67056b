"""Tests of the HTTP client and server, in virtual time and without sockets."""
