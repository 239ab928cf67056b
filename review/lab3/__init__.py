"""Stand-ins and tools that the scripts of the third review share."""
