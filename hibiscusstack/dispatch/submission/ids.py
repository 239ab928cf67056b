"""Issues submission ids and records which caller has claimed each of them.

A job is submitted under an id that one host, its owner, has issued. The owner accepts
each id once, so a submission that is sent again does not start the job a second time.
"""

__all__ = [
    "Claim",
    "ClaimRefusal",
    "IdExpired",
    "IdIssuer",
    "IdMalformed",
    "IdNotIssued",
    "IdOfOtherCaller",
    "IdOfOtherOwner",
    "IssuedId",
    "format_issued_id",
    "parse_issued_id",
    "reason_of_refusal",
]

import hmac
import re
import zlib
from array import array
from enum import Enum
from hashlib import blake2b

import attrs
from expression import Error, Ok, Result

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.answers import Reason
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import InvalidInputError

DEFAULT_LIFETIME_MS = 600_000
DEFAULT_GRACE_MS = 600_000
MAX_IDS_PER_MINT = 1_000
MAX_ID_CHARACTERS = 400
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
MAC_BYTES = 8
WINDOW_IDS = 256

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_ID_PATTERN = re.compile(
    r"(?P<signed>(?P<data_centre>[A-Za-z0-9._-]{1,64})"
    r"~(?P<name>[A-Za-z0-9._-]{1,64})"
    r"~(?P<incarnation>0|[1-9a-f][0-9a-f]{0,31})"
    r"~(?P<sequence>0|[1-9a-f][0-9a-f]{0,15})"
    r"~(?P<expires>0|[1-9a-f][0-9a-f]{0,15})"
    r"~(?P<mac>[0-9a-f]{16}))"
    r"~(?P<checksum>[0-9a-f]{8})",
    re.ASCII,
)


@attrs.frozen
class IssuedId:
    """The parts of a submission id.

    ``expires_ms`` is a time of the owner's clock and cannot be compared with the
    clock of another host. ``mac`` is computed with the owner's secret, so only the
    owner can tell an id that it issued from a forged one.
    """

    owner: HostName
    sequence: int
    expires_ms: int
    mac: str


class Claim(Enum):
    """How the owner of an id accepts a submission.

    ``FRESH`` is the first submission of an id and is returned once for each id.
    ``JOINED`` is a duplicate submission by the same caller. It starts nothing and is
    attached to the first one, whose answer it gets.
    """

    FRESH = "fresh"
    JOINED = "joined"


@attrs.frozen
class IdMalformed:
    """The text is not a submission id; it was mistyped or truncated."""

    text: str


@attrs.frozen
class IdNotIssued:
    """This incarnation never issued the id, so no job ran under it."""

    sequence: int


@attrs.frozen
class IdExpired:
    """The id has expired.

    If ``is_proven_unclaimed``, no job ran and none will run under the id. Otherwise
    the owner no longer keeps the claims of that time, and the outcome is unknown.
    """

    sequence: int
    is_proven_unclaimed: bool


@attrs.frozen
class IdOfOtherOwner:
    """Another host, or another incarnation of this one, owns the id."""

    owner: HostName


@attrs.frozen
class IdOfOtherCaller:
    """Another caller has claimed the id."""

    sequence: int


ClaimRefusal = IdNotIssued | IdExpired | IdOfOtherOwner | IdOfOtherCaller


@attrs.define
class _Window:
    """The claims on ``WINDOW_IDS`` consecutive sequence numbers.

    ``tags`` holds the tag of the caller that claimed each id; 0 means unclaimed.
    ``last_expiry_ms`` is the latest expiry of the claimed ids.
    """

    tags: array
    last_expiry_ms: int = 0


@attrs.define
class IdIssuer:
    """Issues the ids of one host incarnation and lets each be claimed once.

    An id takes no memory until it is claimed. The claims are kept in windows of
    ``WINDOW_IDS`` ids with eight bytes, the caller's tag, for each id. A window is
    kept for at least ``grace_ms`` after the last claimed id in it has expired.

    >>> from hibiscusstack.clock import ManualClock
    >>> owner = HostName("dc1", "h1", 7)
    >>> issuer = IdIssuer(owner, ManualClock(), secret=bytes(16))
    >>> issued = parse_issued_id(issuer.mint(1)[0]).ok
    >>> issuer.claim(issued, "guard-4").ok
    <Claim.FRESH: 'fresh'>
    >>> issuer.claim(issued, "guard-4").ok
    <Claim.JOINED: 'joined'>
    >>> issuer.claim(issued, "guard-5").error
    IdOfOtherCaller(sequence=0)
    """

    owner: HostName
    clock: Clock
    secret: bytes = attrs.field(repr=False)
    lifetime_ms: int = DEFAULT_LIFETIME_MS
    grace_ms: int = DEFAULT_GRACE_MS
    _next_sequence: int = attrs.field(default=0, init=False)
    _windows: dict[int, _Window] = attrs.field(factory=dict, init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Validate the owner's names, the secret and the durations."""
        _check_name("data_centre", self.owner.data_centre)
        _check_name("name", self.owner.name)
        if not MIN_SECRET_BYTES <= len(self.secret) <= MAX_SECRET_BYTES:
            raise InvalidInputError("secret", "16 to 64 bytes", len(self.secret))
        if self.lifetime_ms <= 0:
            raise InvalidInputError("lifetime_ms", "more than 0", self.lifetime_ms)
        if self.grace_ms < 0:
            raise InvalidInputError("grace_ms", "0 or more", self.grace_ms)

    def mint(self, count: int) -> list[str]:
        """Return ``count`` new ids in their text form.

        Raises :class:`InvalidInputError` unless ``count`` is between 1 and 1,000.
        """
        if not 1 <= count <= MAX_IDS_PER_MINT:
            raise InvalidInputError("count", f"1 to {MAX_IDS_PER_MINT}", count)
        expires_ms = self.clock.now_ms() + self.lifetime_ms
        first = self._next_sequence
        self._next_sequence += count
        return [
            self._format(sequence, expires_ms)
            for sequence in range(first, first + count)
        ]

    def claim(self, issued: IssuedId, caller: str) -> Result[Claim, ClaimRefusal]:
        """Claim an id for ``caller``.

        Returns ``FRESH`` for the first claim of an id, and ``JOINED`` for later claims
        by the same caller. The claim is refused if the id belongs to another owner,
        was never issued, has expired or was claimed by another caller; each case has
        a type of its own. The cost is constant: one MAC and one lookup.
        """
        now_ms = self.clock.now_ms()
        self._drop_expired_windows(now_ms)
        if issued.owner != self.owner:
            return Error(IdOfOtherOwner(issued.owner))
        if not self._is_issued_here(issued):
            return Error(IdNotIssued(issued.sequence))
        claimed_tag = self._claimed_tag(issued.sequence)
        caller_tag = self._caller_tag(caller)
        if claimed_tag == caller_tag:
            return Ok(Claim.JOINED)
        if claimed_tag:
            return Error(IdOfOtherCaller(issued.sequence))
        if now_ms >= issued.expires_ms:
            is_remembered = now_ms < issued.expires_ms + self.grace_ms
            return Error(IdExpired(issued.sequence, is_remembered))
        self._record_claim(issued, caller_tag)
        return Ok(Claim.FRESH)

    def count_windows(self) -> int:
        """Return the number of windows of claims in memory."""
        return len(self._windows)

    def _format(self, sequence: int, expires_ms: int) -> str:
        unsigned = IssuedId(self.owner, sequence, expires_ms, mac="")
        mac = self._compute_mac(unsigned)
        return format_issued_id(attrs.evolve(unsigned, mac=mac))

    def _compute_mac(self, issued: IssuedId) -> str:
        signed = _signed_part(issued).encode("ascii")
        return blake2b(signed, key=self.secret, digest_size=MAC_BYTES).hexdigest()

    def _is_issued_here(self, issued: IssuedId) -> bool:
        if issued.sequence >= self._next_sequence:
            return False
        return hmac.compare_digest(issued.mac, self._compute_mac(issued))

    def _caller_tag(self, caller: str) -> int:
        digest = blake2b(
            caller.encode("utf-8", "surrogatepass"),
            key=self.secret,
            digest_size=8,
            person=b"caller",
        ).digest()
        return int.from_bytes(digest, "big") | 1

    def _claimed_tag(self, sequence: int) -> int:
        window = self._windows.get(sequence // WINDOW_IDS)
        if window is None:
            return 0
        return window.tags[sequence % WINDOW_IDS]

    def _record_claim(self, issued: IssuedId, tag: int) -> None:
        index = issued.sequence // WINDOW_IDS
        window = self._windows.get(index)
        if window is None:
            window = _Window(array("Q", bytes(8 * WINDOW_IDS)))
            self._windows[index] = window
        window.tags[issued.sequence % WINDOW_IDS] = tag
        window.last_expiry_ms = max(window.last_expiry_ms, issued.expires_ms)

    def _drop_expired_windows(self, now_ms: int) -> None:
        """Drop expired windows in order of creation, up to the first one to keep.

        A window is kept until its last claimed id has expired and the grace period
        has passed. An id whose claim was dropped has therefore expired and cannot be
        claimed again.
        """
        while self._windows:
            index = next(iter(self._windows))
            if self._windows[index].last_expiry_ms + self.grace_ms > now_ms:
                return
            del self._windows[index]


def parse_issued_id(text: str) -> Result[IssuedId, IdMalformed]:
    """Return the parts of an issued id, or ``IdMalformed``.

    The checksum detects a mistyped id on any host, without asking the owner. Each id
    has exactly one text form.

    >>> parse_issued_id("dc1~h1~7~0").error
    IdMalformed(text='dc1~h1~7~0')
    """
    match = _ID_PATTERN.fullmatch(text) if len(text) <= MAX_ID_CHARACTERS else None
    if match is None or match["checksum"] != _checksum(match["signed"]):
        return Error(IdMalformed(text[:MAX_ID_CHARACTERS]))
    owner = HostName(match["data_centre"], match["name"], int(match["incarnation"], 16))
    sequence = int(match["sequence"], 16)
    return Ok(IssuedId(owner, sequence, int(match["expires"], 16), match["mac"]))


def format_issued_id(issued: IssuedId) -> str:
    """Return the text form of an id: its parts, the MAC and a checksum.

    All its characters are unreserved in a URL and need no quoting.

    >>> format_issued_id(IssuedId(HostName("dc1", "h1", 7), 0, 600, "0" * 16))
    'dc1~h1~7~0~258~0000000000000000~2349db46'
    """
    text = f"{_signed_part(issued)}~{issued.mac}"
    return f"{text}~{_checksum(text)}"


def reason_of_refusal(refusal: ClaimRefusal | IdMalformed) -> Reason:
    """Return the reason that a caller is given for a refused claim.

    A caller that submits another caller's id gets the same reason as for an id that
    was never issued, so it does not learn that the id is in use.

    >>> reason_of_refusal(IdExpired(4, is_proven_unclaimed=True))
    <Reason.ID_EXPIRED: 'id-expired'>
    """
    match refusal:
        case IdExpired():
            return Reason.ID_EXPIRED
        case IdOfOtherOwner():
            return Reason.OWNER_LOST
        case _:
            return Reason.ID_NOT_ISSUED


def _signed_part(issued: IssuedId) -> str:
    owner = issued.owner
    return (
        f"{owner.data_centre}~{owner.name}~{owner.incarnation:x}"
        f"~{issued.sequence:x}~{issued.expires_ms:x}"
    )


def _checksum(text: str) -> str:
    return f"{zlib.crc32(text.encode('ascii')):08x}"


def _check_name(field: str, name: str) -> None:
    if _NAME_PATTERN.fullmatch(name) is None:
        raise InvalidInputError(field, "1 to 64 letters, digits, '.', '_' or '-'", name)
