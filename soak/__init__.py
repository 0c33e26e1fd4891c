"""A randomized soak: nodes as processes, faults from outside, promises checked meanwhile."""
