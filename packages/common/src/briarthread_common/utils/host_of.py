"""Addresses of the form IP:PORT."""

from ipaddress import ip_address

PORT_COUNT = 65536


def host_of(address: str) -> str:
    """
    Return the host of an address IP:PORT.

    Processes on one instance, such as a target and its agent, have the same host.

    >>> host_of("10.1.0.40:8229")
    '10.1.0.40'
    """
    return address.rpartition(":")[0]


def is_address(raw: str) -> bool:
    """
    Return whether a text is an address IP:PORT that can be called.

    >>> [is_address(raw) for raw in ("10.1.0.40:80", "[::1]:80", "10.1.0.40", "a:b")]
    [True, True, False, False]
    """
    host, _, port = raw.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < PORT_COUNT
