"""Kinds of setting values: how each is parsed, rendered and described."""

__all__ = [
    "Choice",
    "Endpoint",
    "EndpointList",
    "Fraction",
    "IpAddress",
    "Name",
    "Number",
    "Url",
    "ValueKind",
]

import ipaddress
import re
from typing import Any, Protocol
from urllib.parse import urlsplit

import attrs

from hibiscusstack.host.dialing import PeerAddress

MAX_PORT = 65_535

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")


class ValueKind(Protocol):
    """A kind of setting value."""

    @property
    def expected(self) -> str:
        """Return a description of the valid values, for messages and documentation."""

    def parse(self, text: str) -> Any:
        """Return the value, or raise ``ValueError`` if ``text`` is invalid."""

    def render(self, value: Any) -> str:
        """Return the text that :meth:`parse` turns into ``value``."""


@attrs.frozen
class Number:
    """A whole number from ``minimum`` to ``maximum``, both inclusive.

    If ``is_optional`` is set, an empty text is valid and means ``None``.

    >>> Number(0, 10).parse("7")
    7
    """

    minimum: int
    maximum: int
    is_optional: bool = False

    @property
    def expected(self) -> str:
        """Return a description of the bounds."""
        text = f"a whole number from {self.minimum} to {self.maximum}"
        return f"{text}, or empty" if self.is_optional else text

    def parse(self, text: str) -> int | None:
        """Return the number, or ``None`` for an empty text if that is allowed."""
        if not text and self.is_optional:
            return None
        if not re.fullmatch(r"[+-]?[0-9]{1,18}", text):
            raise ValueError(text)
        value = int(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value

    def render(self, value: int | None) -> str:
        """Return the decimal digits, or an empty text for ``None``."""
        return "" if value is None else str(value)


@attrs.frozen
class Fraction:
    """A decimal fraction above 0 and at most 1; an empty text means 1.

    >>> Fraction().parse("0.25"), Fraction().parse("")
    (0.25, 1.0)
    """

    @property
    def expected(self) -> str:
        """Return a description of the bounds."""
        return "a decimal fraction above 0 and at most 1, or empty"

    def parse(self, text: str) -> float:
        """Return the fraction."""
        if not text:
            return 1.0
        if not re.fullmatch(r"[0-9]{0,3}\.?[0-9]{1,18}", text):
            raise ValueError(text)
        value = float(text)
        if not 0 < value <= 1:
            raise ValueError(text)
        return value

    def render(self, value: float) -> str:
        """Return the fraction with up to six significant digits."""
        return f"{value:g}"


@attrs.frozen
class Name:
    """A name that can be part of ids and of metric names."""

    @property
    def expected(self) -> str:
        """Return a description of the allowed characters."""
        return "1 to 64 letters, digits, '.', '_' or '-'"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not _NAME_PATTERN.fullmatch(text):
            raise ValueError(text)
        return text

    def render(self, value: str) -> str:
        """Return the name."""
        return value


@attrs.frozen
class Choice:
    """One of the texts in ``options``."""

    options: tuple[str, ...]

    @property
    def expected(self) -> str:
        """Return the list of options."""
        return "one of " + ", ".join(self.options)

    def parse(self, text: str) -> str:
        """Return the option."""
        if text not in self.options:
            raise ValueError(text)
        return text

    def render(self, value: str) -> str:
        """Return the option."""
        return value


@attrs.frozen
class IpAddress:
    """An IP address."""

    is_optional: bool = False

    @property
    def expected(self) -> str:
        """Return a description of the form."""
        return "an IP address, or empty" if self.is_optional else "an IP address"

    def parse(self, text: str) -> str:
        """Return the IP address in its canonical form."""
        if not text and self.is_optional:
            return ""
        return str(ipaddress.ip_address(text))

    def render(self, value: str) -> str:
        """Return the IP address."""
        return value


@attrs.frozen
class EndpointList:
    """IP addresses with ports, separated by commas or newlines.

    >>> EndpointList().parse("127.0.0.1:7400, [::1]:7400")[1]
    PeerAddress(address='::1', port=7400)
    """

    @property
    def expected(self) -> str:
        """Return a description of the form."""
        return "a list of IP:PORT, IPv6 addresses in brackets, or empty"

    def parse(self, text: str) -> tuple[PeerAddress, ...]:
        """Return the addresses in the order of the text."""
        parts = [part.strip() for part in re.split(r"[,\n]", text)]
        return tuple(_parse_address_and_port(part) for part in parts if part)

    def render(self, value: tuple[PeerAddress, ...]) -> str:
        """Return the list, separated by commas."""
        return ", ".join(_render_address_and_port(address) for address in value)


@attrs.frozen
class Endpoint:
    """An IP address with a port, as text.

    >>> Endpoint().parse("[::1]:0080")
    '[::1]:80'
    """

    is_optional: bool = False

    @property
    def expected(self) -> str:
        """Return a description of the form."""
        form = "IP:PORT, IPv6 addresses in brackets"
        return f"{form}, or empty" if self.is_optional else form

    def parse(self, text: str) -> str:
        """Return the address in its canonical form."""
        if not text and self.is_optional:
            return ""
        return _render_address_and_port(_parse_address_and_port(text))

    def render(self, value: str) -> str:
        """Return the address."""
        return value


@attrs.frozen
class Url:
    """The base URL of an HTTP interface."""

    @property
    def expected(self) -> str:
        """Return a description of the form."""
        return "http://IP:PORT, without a query"

    def parse(self, text: str) -> str:
        """Return the URL without trailing slashes."""
        parts = urlsplit(text)
        if parts.scheme not in ("http", "https") or parts.query or parts.fragment:
            raise ValueError(text)
        if not parts.hostname or parts.username is not None:
            raise ValueError(text)
        ipaddress.ip_address(parts.hostname)
        if parts.port == 0:
            raise ValueError(text)
        return text.rstrip("/")

    def render(self, value: str) -> str:
        """Return the URL."""
        return value


def _parse_address_and_port(text: str) -> PeerAddress:
    match = re.fullmatch(r"(?:\[(?P<v6>.+)\]|(?P<v4>[^:]+)):(?P<port>[0-9]{1,5})", text)
    if match is None:
        raise ValueError(text)
    address = ipaddress.ip_address(match["v6"] or match["v4"])
    if (address.version == 6) != bool(match["v6"]):
        raise ValueError(text)
    port = int(match["port"])
    if not 1 <= port <= MAX_PORT:
        raise ValueError(text)
    return PeerAddress(str(address), port)


def _render_address_and_port(value: PeerAddress) -> str:
    address = f"[{value.address}]" if ":" in value.address else value.address
    return f"{address}:{value.port}"
