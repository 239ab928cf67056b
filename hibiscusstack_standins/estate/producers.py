"""The order of a producer's appends to one partition."""

__all__ = ["Producers"]

from collections import OrderedDict

import attrs

from hibiscusstack_standins.estate.messages import Answer

_REMEMBERED = 5


@attrs.define
class _Producer:
    epoch: int
    last_seq: int | None = None
    answers: OrderedDict[int, Answer] = attrs.field(factory=OrderedDict)


class Producers:
    """Epochs and sequence numbers by producer."""

    def __init__(self) -> None:
        self._producers: dict[str, _Producer] = {}

    def judge(self, name: str, epoch: int, seq: int) -> Answer | None:
        """Return the refusal or the first answer of a repeat; ``None`` goes on."""
        known = self._producers.get(name)
        if known is None or epoch > known.epoch:
            return None
        if epoch < known.epoch:
            return Answer(409, {"reason": "fenced"})
        if seq in known.answers:
            return known.answers[seq]
        if known.last_seq is None or seq == known.last_seq + 1:
            return None
        return Answer(409, {"reason": "seq", "seq": known.last_seq + 1})

    def set_epoch(self, name: str, epoch: int) -> Answer | None:
        """Take a higher epoch; return the refusal of a lower one."""
        known = self._producers.get(name)
        if known is None or epoch > known.epoch:
            self._producers[name] = _Producer(epoch)
        elif epoch < known.epoch:
            return Answer(409, {"reason": "fenced"})
        return None

    def appended(self, name: str, epoch: int, seq: int, answer: Answer) -> None:
        """Remember the answer to an append."""
        self.set_epoch(name, epoch)
        producer = self._producers[name]
        producer.last_seq = seq
        producer.answers[seq] = answer
        if len(producer.answers) > _REMEMBERED:
            producer.answers.popitem(last=False)
