"""What is known beforehand of the speed of a model engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """
    Hold the figures from which the length of an engine's pass is predicted.

    ``slots`` requests are processed at once on a rank. A step takes
    ``step_seconds``, plus ``writer_seconds`` for each request that writes,
    plus ``context_seconds`` a thousand tokens of their contexts. Prompts are
    read at ``read_rate`` tokens a second, at most ``chunk`` a step, plus
    ``pair_seconds`` a million pairs of tokens. A pass with writers has
    ``stride`` steps, each of one token. ``expert_share`` of the work lies
    with the experts.
    """

    slots: int
    step_seconds: float
    writer_seconds: float
    context_seconds: float
    read_rate: float
    pair_seconds: float
    chunk: int
    stride: int
    expert_share: float = 0.0
    usual_prompt: int = 0
    usual_answer: int = 0
