"""Objective of expert placement in a services text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Objective:
    """Weights of step-time skew and of the cost of moving experts."""

    skew_weight: float = 1.0
    rebalance_weight: float = 1.0
