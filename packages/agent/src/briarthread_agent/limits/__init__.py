"""The bounded and ordered queue before the target."""
