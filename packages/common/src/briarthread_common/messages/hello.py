"""Who answers at an agent's address."""

from dataclasses import dataclass

HELLO_PATH = "/agent/v1/hello"
HELLO_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Hello:
    """Say which incarnation of which instance answers at an address."""

    name: str
    incarnation: str
