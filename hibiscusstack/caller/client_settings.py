"""Settings of the client library."""

__all__ = ["ClientSettings"]

import attrs


@attrs.frozen
class ClientSettings:
    """How a client spends time, ids and retries.

    ``answer_grace_ms`` is how long an answer may come after the job's deadline, and
    ``silence_ms`` how long a host that owes answers may say nothing before it is
    asked for its health, and how long it may take to tell.
    """

    id_batch: int = 32
    max_ids: int = 1_000
    id_timeout_ms: int = 2_000
    connect_timeout_ms: int = 1_000
    attempt_timeout_ms: int = 10_000
    silence_ms: int = 500
    answer_grace_ms: int = 2_000
    max_retries: int = 7
    backoff_ms: int = 20
    max_backoff_ms: int = 1_000
    max_connections: int = 256
