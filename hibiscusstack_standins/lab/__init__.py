"""The lab: whole sites with load and faults in virtual time, and what they earn."""
