"""What an entry observed of a plain service as a whole."""

from dataclasses import dataclass, field

from briarthread_common.utils.decaying_mean import DecayingMean

SAMPLE_WEIGHT = 0.05
"""Weight of one sample in a service's mean duration, which then covers about twenty
responses of all its targets."""
REQUESTS_PER_PROBE = 50
"""Choices of an entry per probe of a slow or silent target of the service. A probe may
delay its caller, so that only one request in fifty is used for it."""


@dataclass(slots=True, eq=False)
class ServiceRecord:
    """
    Hold the mean duration of a service's calls, and count choices between probes.

    >>> record = ServiceRecord(choices=REQUESTS_PER_PROBE)
    >>> record.may_probe(), record.choices
    (True, 50)
    """

    seconds: DecayingMean = field(default_factory=lambda: DecayingMean(SAMPLE_WEIGHT))
    choices: int = 0

    def may_probe(self) -> bool:
        """Return whether enough requests were sent since the last probe."""
        return self.choices >= REQUESTS_PER_PROBE
