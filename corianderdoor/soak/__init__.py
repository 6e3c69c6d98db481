"""A randomized soak of entry hosts: faults from outside, and checks."""
