"""Authenticate callers by their keys, and create and withdraw keys."""

import random
import threading
from collections.abc import Mapping
from dataclasses import dataclass

from turmericproxy.configuration.changes import Accepted
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.configuration.resources import Key, Kind
from turmericproxy.configuration.snapshot import Snapshot, Table
from turmericproxy.core.clock import read_boottime
from turmericproxy.core.ids import AccountName, HostName, KeyId, Revision
from turmericproxy.core.loops import Loop
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.keys.marks import (
    MarkRegistry,
    MarkSet,
    compute_marks_digest,
    decode_marks,
    encode_marks,
)
from turmericproxy.keys.pauses import PauseGuard
from turmericproxy.keys.secrets import compute_digest, create_key_id, create_secret
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.links import PeerLinks
from turmericproxy.settings.schema import ConfigurationSettings

MARKS_KIND = "keys.marks"
EXCHANGE_KIND = "keys.exchange"
MARKS_DIGEST_NAME = "keys"
EXCHANGE_TIMEOUT_SECONDS = 1.0
CHECK_SECONDS = 0.2
FIRST_EXCHANGE_CHECK_SECONDS = 0.02
COVER_RETRY_SECONDS = 2.0
FALLBACK_COVER_DELAY_SECONDS = 15.0
WITHDRAW_TIMEOUT_SECONDS = 2.0
PAUSE_LIMIT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class Identity:
    """Client account and key of a request."""

    account: AccountName
    key_id: KeyId


@dataclass(frozen=True)
class CreatedKey:
    """A new key with its secret, which is not stored anywhere."""

    key_id: KeyId
    secret: str


@dataclass(frozen=True)
class Withdrawn:
    """Result of a withdrawal; ``durable`` if it is committed at the platform."""

    durable: bool


class KeyController:
    """Map keys to client accounts, and refuse withdrawn keys on every host.

    A withdrawal is spread to the peers as a mark and covered by deleting the key's resource at the
    platform. A host with reachable peers refuses every key until it has exchanged marks with one;
    requests wait for that for a while.
    """

    def __init__(
        self,
        configuration: ConfigurationController,
        links: PeerLinks,
        settings: ConfigurationSettings,
        pause_limit: float = PAUSE_LIMIT_SECONDS,
    ) -> None:
        self._guard = PauseGuard(pause_limit, self._is_current)
        self._configuration = configuration
        self._links = links
        self._settings = settings
        self._registry = MarkRegistry()
        self._key_index: tuple[Table | None, Mapping[str, Identity]] = (None, {})
        self._cover_due_at: dict[KeyId, float] = {}
        self._lock = threading.Lock()
        self._unsent_marks = MarkSet()
        self._exchanged = threading.Event()
        self._peer_loop = Loop(Part.KEYS, "mark-exchange", self._check_peers)
        self._cover_loop = Loop(Part.KEYS, "mark-cover", self._cover_marks)
        links.register(MARKS_KIND, self._receive_marks)
        links.register(EXCHANGE_KIND, self._answer_exchange)
        self._publish_digest()

    def start(self) -> None:
        """Start the threads that exchange marks with other hosts and cover open ones."""
        self._guard.start()
        self._peer_loop.start()
        self._cover_loop.start()

    def close(self) -> None:
        """Stop the threads."""
        self._guard.close()
        self._peer_loop.close()
        self._cover_loop.close()

    def identify(self, secret: str) -> Identity | Refusal:
        """Return the identity of a key's secret, or a refusal."""
        self._guard.await_current()
        refusal = self._check_freshness()
        if refusal is not None:
            return refusal
        identity = self._get_key_index().get(compute_digest(secret))
        if identity is None:
            return refuse(ResultCode.KEY_UNKNOWN, "the key is not known")
        return self._check_withdrawn(identity) or identity

    def check(self, identity: Identity) -> Refusal | None:
        """Return a refusal if the key is no longer accepted, or else ``None``."""
        self._guard.await_current()
        return self._check_freshness() or self._check_withdrawn(identity)

    def create(self, account: AccountName, name: str) -> CreatedKey | Refusal:
        """Create a key of a client account; its id starts with ``name``."""
        secret = create_secret()
        key_id = KeyId(create_key_id(name))
        spec = {"account": account, "digest": compute_digest(secret)}
        result = self._configuration.change(Kind.KEY, key_id, spec, if_match=Revision(0))
        return CreatedKey(key_id, secret) if isinstance(result, Accepted) else result

    def is_withdrawn(self, key_id: KeyId) -> bool:
        """Return whether this host has a mark for the key."""
        return self._registry.is_marked(key_id)

    def list_uncommitted_withdrawals(self) -> tuple[KeyId, ...]:
        """Return the withdrawn keys whose deletion this host does not know as committed, sorted."""
        return tuple(sorted(self._registry.marks().open))

    def withdraw(self, key_id: KeyId) -> Withdrawn | Refusal:
        """Mark the key on this host and its peers, then try to delete its resource.

        Returns a refusal only if the key is unknown.
        """
        is_known = self._is_configured(key_id) or self._registry.is_marked(key_id)
        self._add_marks(MarkSet(frozenset({key_id})))
        log_event(Part.KEYS, "key withdrawn", key_id=key_id)
        result = self._cover(key_id, WITHDRAW_TIMEOUT_SECONDS)
        if result is not None and result.code is ResultCode.RESOURCE_NOT_FOUND and not is_known:
            return result
        return Withdrawn(durable=result is None or result.code is ResultCode.RESOURCE_NOT_FOUND)

    def _is_current(self, since: float) -> bool:
        """Return whether this host has the state that its peers have now.

        Without reachable peers, the configuration must have been confirmed after ``since``.
        """
        peers = self._links.list_reachable()
        if not peers:
            return self._configuration.measure_age() <= read_boottime() - since
        own_marks = compute_marks_digest(self._registry.marks())
        own_revision = self._configuration.snapshot().revision
        revisions = self._configuration.list_host_revisions()
        return all(peer.digest.get(MARKS_DIGEST_NAME) == own_marks for peer in peers) and all(
            other.revision <= own_revision for other in revisions
        )

    def _check_freshness(self) -> Refusal | None:
        age = self._configuration.measure_age()
        if not self._configuration.is_loaded:
            reason = "no configuration is loaded yet"
            return refuse(ResultCode.KEYS_TOO_OLD, reason, retry_after=RETRY_AFTER_SECONDS)
        is_first_due = not self._exchanged.is_set() and self._links.list_reachable()
        if is_first_due and not self._exchanged.wait(EXCHANGE_TIMEOUT_SECONDS):
            reason = "the withdrawals that other hosts know are not known yet"
            return refuse(ResultCode.KEYS_TOO_OLD, reason, retry_after=RETRY_AFTER_SECONDS)
        limit = self._settings.maximum_age
        if limit is not None and age > limit:
            reason = f"keys were last confirmed more than {limit:g} seconds ago"
            return refuse(ResultCode.KEYS_TOO_OLD, reason, retry_after=RETRY_AFTER_SECONDS)
        return None

    def _check_withdrawn(self, identity: Identity) -> Refusal | None:
        if self._registry.is_marked(identity.key_id) or not self._is_configured(identity.key_id):
            return refuse(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
        return None

    def _is_configured(self, key_id: KeyId) -> bool:
        return key_id in self._configuration.snapshot().get_table(Kind.KEY)

    def _get_key_index(self) -> Mapping[str, Identity]:
        snapshot = self._configuration.snapshot()
        table, index = self._key_index
        if table is not snapshot.get_table(Kind.KEY):
            index = _index_keys(snapshot)
            self._key_index = (snapshot.get_table(Kind.KEY), index)
        return index

    def _add_marks(self, marks: MarkSet) -> None:
        revision = self._configuration.snapshot().revision
        new = self._registry.add(marks, revision)
        if not new.open and not new.covered:
            return
        delay = random.uniform(0.2, 1.0) * FALLBACK_COVER_DELAY_SECONDS
        with self._lock:
            self._unsent_marks = MarkSet(
                self._unsent_marks.open | new.open, {**self._unsent_marks.covered, **new.covered}
            )
            for key_id in new.open:
                self._cover_due_at.setdefault(key_id, read_boottime() + delay)
        self._publish_digest()
        self._peer_loop.wake()

    def _publish_digest(self) -> None:
        with self._lock:
            self._links.set_digest(MARKS_DIGEST_NAME, compute_marks_digest(self._registry.marks()))

    def _receive_marks(self, sender: HostName, body: object) -> None:
        self._add_marks(decode_marks(body))

    def _answer_exchange(self, sender: HostName, body: object) -> object:
        received = decode_marks(body)
        self._add_marks(received)
        return encode_marks(self._registry.create_reply(received.open))

    def _check_peers(self) -> float:
        self._send_unsent_marks()
        own_digest = compute_marks_digest(self._registry.marks())
        answered = [
            self._exchange_marks(peer.host)
            for peer in self._links.list_reachable()
            if not self._exchanged.is_set()
            or peer.digest.get(MARKS_DIGEST_NAME, own_digest) != own_digest
        ]
        if any(answered):
            self._exchanged.set()
        return CHECK_SECONDS if self._exchanged.is_set() else FIRST_EXCHANGE_CHECK_SECONDS

    def _send_unsent_marks(self) -> None:
        with self._lock:
            marks, self._unsent_marks = self._unsent_marks, MarkSet()
        if marks.open or marks.covered:
            self._links.broadcast(MARKS_KIND, encode_marks(marks))

    def _exchange_marks(self, host: HostName) -> bool:
        body = encode_marks(MarkSet(self._registry.marks().open))
        answer = self._links.call(host, EXCHANGE_KIND, body, EXCHANGE_TIMEOUT_SECONDS)
        if isinstance(answer, Refusal):
            return False
        self._add_marks(decode_marks(answer))
        return True

    def _cover_marks(self) -> float:
        now = read_boottime()
        open_marks = self._registry.marks().open
        with self._lock:
            self._cover_due_at = {
                key: at for key, at in self._cover_due_at.items() if key in open_marks
            }
        for key_id in open_marks:
            if self._cover_due_at.get(key_id, 0.0) <= now:
                self._cover(key_id, WITHDRAW_TIMEOUT_SECONDS)
        return CHECK_SECONDS

    def _cover(self, key_id: KeyId, timeout: float) -> Refusal | None:
        """Delete the key's resource and cover its mark, or return the refusal of the deletion.

        A missing resource covers the mark too: key ids are never reused, so a key that is missing
        at the platform's newest revision stays missing.
        """
        result = self._configuration.change(Kind.KEY, key_id, None, timeout=timeout)
        if isinstance(result, Accepted):
            self._record_cover(key_id, result.revision)
            return None
        if result.code is ResultCode.RESOURCE_NOT_FOUND:
            self._record_cover(key_id, self._configuration.snapshot().revision)
            return result
        delay = COVER_RETRY_SECONDS * random.uniform(0.5, 1.5)
        with self._lock:
            self._cover_due_at[key_id] = read_boottime() + delay
        return result

    def _record_cover(self, key_id: KeyId, revision: Revision) -> None:
        log_event(Part.KEYS, "withdrawal committed", key_id=key_id, revision=revision)
        self._add_marks(MarkSet(frozenset(), {key_id: revision}))
        with self._lock:
            self._cover_due_at.pop(key_id, None)


def _index_keys(snapshot: Snapshot) -> Mapping[str, Identity]:
    return {
        key.digest: Identity(AccountName(key.account), KeyId(key.name))
        for key in snapshot.list_keys()
        if isinstance(key, Key)
    }
