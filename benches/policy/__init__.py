"""The policy under load and faults, measured in virtual time."""
