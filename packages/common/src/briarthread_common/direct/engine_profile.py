"""What is known beforehand of the speed of a model engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """
    Hold the figures from which the length of an engine's pass is predicted.

    ``slots`` requests are processed at once on a rank. A step takes
    ``step_seconds``, plus ``decode_seconds`` for each request that writes,
    plus ``context_seconds`` a thousand tokens of their contexts. Prompts are
    read at ``prefill_rate`` tokens a second, at most ``prefill_chunk`` a step, plus
    ``token_pair_seconds`` a million pairs of tokens. A pass with writers has
    ``steps_per_pass`` steps, each of one token. ``expert_share`` of the work lies
    with the experts.
    """

    slots: int
    step_seconds: float
    decode_seconds: float
    context_seconds: float
    prefill_rate: float
    token_pair_seconds: float
    prefill_chunk: int
    steps_per_pass: int
    expert_share: float = 0.0
    typical_prompt: int = 0
    typical_answer: int = 0
