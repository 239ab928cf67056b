"""A state machine test that compares the issuer with a dictionary of claims."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.submission.ids import (
    WINDOW_IDS,
    Claim,
    IdExpired,
    IdIssuer,
    IdOfOtherCaller,
    IdOfOtherOwner,
    parse_issued_id,
)

LIFETIME_MS = 1_000
GRACE_MS = 300
CALLERS = st.sampled_from(["guard", "office", "notice board"])


class IdsMachine(RuleBasedStateMachine):
    """One host that restarts, and callers that submit ids at any time."""

    ids = Bundle("ids")

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.incarnation = 0
        self.claims = {}
        self.expiry_ms = {}
        self.boot()

    def boot(self):
        """Start a new incarnation."""
        self.incarnation += 1
        self.owner = HostName("dc1", "h1", self.incarnation)
        secret = bytes([self.incarnation]) * 16
        self.issuer = IdIssuer(self.owner, self.clock, secret, LIFETIME_MS, GRACE_MS)
        self.claims = {}

    @rule(target=ids, skipped=st.integers(1, WINDOW_IDS))
    def mint(self, skipped):
        """Issue ids, of which only the last one is used."""
        text = self.issuer.mint(skipped)[-1]
        self.expiry_ms[text] = self.clock.now_ms() + LIFETIME_MS
        return text

    @rule(text=ids, caller=CALLERS)
    def submit(self, text, caller):
        """Submit an id, for the first time or repeatedly."""
        issued = parse_issued_id(text).ok
        outcome = self.issuer.claim(issued, caller)
        if issued.owner != self.owner:
            assert outcome.error == IdOfOtherOwner(issued.owner)
            return
        now_ms = self.clock.now_ms()
        is_remembered = now_ms < self.expiry_ms[text] + GRACE_MS
        first = self.claims.get(text)
        if outcome.is_ok() and outcome.ok is Claim.FRESH:
            assert first is None
            assert now_ms < self.expiry_ms[text]
            self.claims[text] = caller
        elif outcome.is_ok():
            assert first == caller
        elif isinstance(outcome.error, IdOfOtherCaller):
            assert first not in (None, caller)
        else:
            assert isinstance(outcome.error, IdExpired)
            assert now_ms >= self.expiry_ms[text]
            if outcome.error.is_proven_unclaimed:
                assert first is None
            if first is not None:
                assert not is_remembered

    @rule(duration_ms=st.integers(0, LIFETIME_MS))
    def wait(self, duration_ms):
        """Let time pass."""
        self.clock.advance(duration_ms)

    @rule(text=consumes(ids))
    def lose(self, text):
        """Discard an id that its caller never submits again."""

    @rule()
    def restart(self):
        """Start a new incarnation."""
        self.boot()

    @invariant()
    def memory_is_bounded(self):
        """Keep no more windows than there are claims."""
        assert self.issuer.count_windows() <= len(self.claims)


IdsMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
TestIdsMachine = IdsMachine.TestCase
