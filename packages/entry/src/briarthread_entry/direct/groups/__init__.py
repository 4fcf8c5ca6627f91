"""Lock-step groups: their ranks, capacity, health and passes."""
