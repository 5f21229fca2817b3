"""Read addresses of the form IP:PORT."""

import ipaddress

PORTS = range(1, 65_536)


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port; raise ``ValueError`` if nothing can listen there.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdecimal() and len(port) <= 5 and int(port) in PORTS):
        raise ValueError("the port is not a number from 1 to 65535")
    return ip, int(port)
