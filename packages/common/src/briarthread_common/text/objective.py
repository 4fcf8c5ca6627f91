"""What the operator weighs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Objective:
    """Weigh step-time skew against the cost of moving experts."""

    skew_weight: float = 1.0
    rebalance_weight: float = 1.0
