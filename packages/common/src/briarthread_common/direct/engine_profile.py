"""Performance profile of a model engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """
    Parameters from which the duration of an engine's pass is predicted.

    A rank processes ``slots`` requests at once. A step takes ``step_seconds``, plus
    ``decode_seconds`` for each request in decode, plus ``context_seconds`` per
    thousand tokens of their contexts. Prefill processes ``prefill_rate`` tokens per
    second, at most ``prefill_chunk`` tokens per step, and takes another
    ``token_pair_seconds`` per million pairs of tokens. A pass with requests in decode
    has ``steps_per_pass`` steps of one token each. ``expert_share`` is the fraction of
    the work done by the experts.
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
