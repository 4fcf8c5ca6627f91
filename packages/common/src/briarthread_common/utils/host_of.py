"""Addresses of the form IP:PORT."""

from ipaddress import ip_address

from briarthread_common.core.decoding import read_whole_number

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
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    number = read_whole_number(port)
    is_scoped = "%" in host
    return not is_scoped and number is not None and 0 < number < PORT_COUNT
