"""Agreement of all ranks of a group on one expert map."""
