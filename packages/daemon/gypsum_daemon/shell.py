"""The shell: carries out the decision logic's actions, feeds it events."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

from gypsum_core import actions
from gypsum_core.events import (
    AcceptedManifest,
    CallerDisconnected,
    CallerRequest,
    DrainRequested,
    ManifestsReceived,
    PeerLost,
    PeerMessage,
    TimerFired,
)
from gypsum_core.messages import Changes, ManifestEntry
from gypsum_core.node import Node
from gypsum_daemon import logs
from gypsum_links.links import Links
from gypsum_model.errors import UserError
from gypsum_model.manifest import parse_manifest, spec_of
from gypsum_upstream.executor import Executor, Login

PART = "shell"


class Shell:
    """One daemon's node with its clock, sockets and timers."""

    def __init__(self, *, settings):
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.node = Node(
            daemon=settings.daemon,
            domain=settings.domain,
            incarnation=secrets.token_hex(4),
            rng=random.SystemRandom(),
            tuning=settings.core_tuning(),
        )
        self.links = Links(
            daemon=settings.daemon,
            secret=settings.link_secret.get_secret_value(),
            receiver=self,
            address_of=self.peer_address,
            report=lambda text: logs.write("links", text),
        )
        self.executor = Executor(
            login=Login(
                user=settings.login.user,
                password=settings.login.password.get_secret_value(),
            ),
            address_of=self.upstream_address,
            report=self.feed,
            max_rows=settings.max_answer_rows,
        )
        self.waiting = {}
        self.exited = asyncio.Event()
        self.record_status: Callable[[actions.RecordStatus], Any] = lambda action: None
        self.handlers = {
            actions.Send: self.send,
            actions.Reply: self.reply,
            actions.SetTimer: self.set_timer,
            actions.Log: self.log,
            actions.SetPoolSize: self.executor.warm,
            actions.DropConnections: self.executor.drop_connections,
            actions.DropLink: self.drop_link,
            actions.RecordStatus: self.record,
            actions.Exit: self.exit,
        }

    # Events in

    def start(self):
        """Begin with the node's first actions."""
        self.carry_out(self.node.start(time.monotonic()))

    def feed(self, event):
        """Give the node an event and carry out what it asks for."""
        self.carry_out(self.node.handle(event, time.monotonic()))

    def message_arrived(self, peer, message):
        """A peer's message; manifests in it pass the border checks first."""
        if isinstance(message, Changes):
            self.feed_changes(peer, message)
            return
        self.feed(PeerMessage(peer=peer, message=message))

    def feed_changes(self, peer, changes):
        """Take in manifests that a peer holds in force."""
        self.feed_manifests(changes.entries, source=peer, complete=changes.complete)

    def feed_manifests(self, entries, *, source, complete):
        """Check manifests and put the newer ones in force."""
        checked = []
        for entry in entries:
            try:
                checked.append(check_entry(entry))
            except UserError as exc:
                logs.write("manifest", f"{entry.database}: left out: {exc}")
        self.feed(
            ManifestsReceived(
                manifests=tuple(checked), source=source, complete=complete
            )
        )

    def link_lost(self, peer):
        """A link broke."""
        self.feed(PeerLost(peer=peer))

    def ask(self, request):
        """Submit a caller's request; the future holds its answer."""
        fut = self.loop.create_future()
        self.waiting[request.id] = fut
        self.feed(CallerRequest(request=request))
        return fut

    def caller_gone(self, request_id):
        """A caller hung up."""
        if self.waiting.pop(request_id, None) is not None:
            self.feed(CallerDisconnected(request=request_id))

    def drain(self):
        """Begin the graceful shutdown."""
        self.feed(DrainRequested())

    # Actions out

    def carry_out(self, todo):
        """Carry out actions in order."""
        for action in todo:
            handler = self.handlers.get(type(action), self.executor.start)
            handler(action)

    def send(self, action):
        """Send a message to a peer."""
        self.links.send(action.peer, action.message)

    def reply(self, action):
        """Answer a caller that still waits."""
        fut = self.waiting.pop(action.answer.request, None)
        if fut is not None and not fut.done():
            fut.set_result(action.answer)

    def set_timer(self, action):
        """Wake the node later."""
        self.loop.call_at(
            self.loop.time() + max(0.0, action.at - time.monotonic()),
            self.feed,
            TimerFired(timer=action.timer),
        )

    def log(self, action):
        """Write a log line."""
        logs.write(action.part, action.text)

    def drop_link(self, action):
        """Close a silent link."""
        self.links.reset(action.peer)

    def record(self, action):
        """Tell the platform who leads, best effort."""
        self.record_status(action)

    def exit(self, action):
        """The drain is over."""
        self.exited.set()

    # Addresses

    def peer_address(self, peer):
        """Where a daemon listens for links, from the list or the seeds."""
        instance = self.node.daemon_by_id.get(peer)
        if instance is not None:
            return instance.address
        for seed in self.settings.seeds:
            if seed.id == peer:
                return seed.address
        return ""

    def upstream_address(self, database, upstream):
        """Where an upstream listens, from the manifest in force."""
        spec = self.node.spec(database).upstream_by_id[upstream]
        return spec.host, spec.port

    async def close(self):
        """Close links and connections."""
        await self.links.close()
        await self.executor.close()


def check_entry(entry: ManifestEntry):
    """A manifest that passed the border checks, or UserError."""
    manifest = parse_manifest(entry.body, source=entry.database)
    if manifest.database != entry.database:
        raise UserError(
            f"names database {manifest.database!r}", step="check", peer=entry.database
        )
    return AcceptedManifest(spec=spec_of(manifest, version=entry.version), entry=entry)
