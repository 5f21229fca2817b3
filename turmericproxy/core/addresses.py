"""Read addresses of the form IP:PORT."""

import ipaddress

PORTS = range(1, 65_536)
MAX_PORT_DIGITS = 5


def split_address(address: str, *, may_choose_port: bool = False) -> tuple[str, int]:
    """Return IP address and port; raise ``ValueError`` if nothing can listen there.

    With ``may_choose_port``, port 0 is valid, too: the system chooses a free one.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not (int(port) in PORTS or (may_choose_port and int(port) == 0)):
        raise ValueError("the port is not a number from 1 to 65535")
    return ip, int(port)
