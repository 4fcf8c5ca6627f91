"""Identity of the process that answers at an agent's address."""

from dataclasses import dataclass

HELLO_PATH = "/agent/v1/hello"
HELLO_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Hello:
    """Name and incarnation of the instance that answers at an address."""

    name: str
    incarnation: str
