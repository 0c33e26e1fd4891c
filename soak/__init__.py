"""A randomized soak: node processes under injected faults, with guarantees checked throughout."""
