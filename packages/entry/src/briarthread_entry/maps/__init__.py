"""Planning of a group's expert map and bringing it in force."""
