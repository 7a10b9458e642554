"""Pure data and decisions: no I/O, no clock, no randomness of their own."""
