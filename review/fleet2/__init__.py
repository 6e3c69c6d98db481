"""Stand-ins and entry hosts for the scripts of the second review."""
