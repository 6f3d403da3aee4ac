"""A randomized run of real daemons under faults from outside them."""
