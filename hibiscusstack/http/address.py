"""Addresses as ``IP:PORT``."""

__all__ = ["parse_address"]

from twisted.internet.abstract import isIPAddress, isIPv6Address


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:PORT`` or ``[IPV6]:PORT``.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    is_ipv6 = host.startswith("[") and host.endswith("]") and isIPv6Address(host[1:-1])
    is_port = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    if not is_port or not (is_ipv6 or isIPAddress(host)):
        raise ValueError(f"not an IP address and a port: {address!r}")
    return host.strip("[]"), int(port)
