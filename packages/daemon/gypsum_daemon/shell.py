"""Connects the decision logic to I/O: passes events in, executes its actions."""

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
    """One daemon's node with its clock, sockets and timers.

    The imperative shell around the decision logic, which does no I/O itself.
    """

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
            report=self.handle_event,
            max_rows=settings.max_answer_rows,
        )
        self.pending = {}
        self.exited = asyncio.Event()
        self.record_status: Callable[[actions.RecordStatus], Any] = lambda action: None
        self.handlers = {
            actions.Send: self.send,
            actions.Reply: self.reply,
            actions.SetTimer: self.set_timer,
            actions.Log: self.log,
            actions.SetPoolSize: self.executor.set_pool_size,
            actions.DropConnections: self.executor.drop_connections,
            actions.DropLink: self.drop_link,
            actions.RecordStatus: self.record_leader_status,
            actions.Exit: self.exit,
        }

    # Events

    def start(self):
        """Start the node."""
        self.execute_actions(self.node.start(time.monotonic()))

    def handle_event(self, event):
        """Pass an event to the node and execute the resulting actions."""
        self.execute_actions(self.node.handle(event, time.monotonic()))

    def message_arrived(self, peer, message):
        """Handle a peer's message; manifests in it are validated first."""
        if isinstance(message, Changes):
            self.handle_changes(peer, message)
            return
        self.handle_event(PeerMessage(peer=peer, message=message))

    def handle_changes(self, peer, changes):
        """Apply manifests that a peer has in force."""
        self.handle_manifests(changes.entries, source=peer, complete=changes.complete)

    def handle_manifests(self, entries, *, source, complete):
        """Validate manifests and pass the valid ones to the node."""
        checked = []
        for entry in entries:
            try:
                checked.append(validate_entry(entry))
            except UserError as exc:
                logs.write(
                    "manifest", f"{entry.database}: invalid manifest ignored: {exc}"
                )
        self.handle_event(
            ManifestsReceived(
                manifests=tuple(checked), source=source, complete=complete
            )
        )

    def link_lost(self, peer):
        """Tell the node that a link was lost."""
        self.handle_event(PeerLost(peer=peer))

    def submit(self, request):
        """Submit a caller's request; return the future of its answer."""
        fut = self.loop.create_future()
        self.pending[request.id] = fut
        self.handle_event(CallerRequest(request=request))
        return fut

    def caller_disconnected(self, request_id):
        """Cancel the request of a caller that closed its connection."""
        if self.pending.pop(request_id, None) is not None:
            self.handle_event(CallerDisconnected(request=request_id))

    def drain(self):
        """Start the graceful shutdown."""
        self.handle_event(DrainRequested())

    # Actions

    def execute_actions(self, actions_to_execute):
        """Execute actions in order."""
        for action in actions_to_execute:
            handler = self.handlers.get(type(action), self.executor.start)
            handler(action)

    def send(self, action):
        """Send a message to a peer."""
        self.links.send(action.peer, action.message)

    def reply(self, action):
        """Complete a pending request."""
        fut = self.pending.pop(action.answer.request, None)
        if fut is not None and not fut.done():
            fut.set_result(action.answer)

    def set_timer(self, action):
        """Schedule a timer event."""
        self.loop.call_at(
            self.loop.time() + max(0.0, action.at - time.monotonic()),
            self.handle_event,
            TimerFired(timer=action.timer),
        )

    def log(self, action):
        """Write a log line."""
        logs.write(action.part, action.text)

    def drop_link(self, action):
        """Close a silent link."""
        self.links.reset(action.peer)

    def record_leader_status(self, action):
        """Record the leader at the platform, best effort."""
        self.record_status(action)

    def exit(self, action):
        """Signal that the drain is complete."""
        self.exited.set()

    # Addresses

    def peer_address(self, peer):
        """Return a daemon's link address, from the instance list or the seeds."""
        instance = self.node.daemon_by_id.get(peer)
        if instance is not None:
            return instance.address
        for seed in self.settings.seeds:
            if seed.id == peer:
                return seed.address
        return ""

    def upstream_address(self, database, upstream):
        """Return an upstream's address, from the manifest in force."""
        spec = self.node.spec(database).upstream_by_id[upstream]
        return spec.host, spec.port

    async def close(self):
        """Close links and connections."""
        await self.links.close()
        await self.executor.close()


def validate_entry(entry: ManifestEntry):
    """Validate a manifest; raises UserError if it is invalid."""
    manifest = parse_manifest(entry.body, source=entry.database)
    if manifest.database != entry.database:
        raise UserError(
            f"manifest is for database {manifest.database!r}",
            step="check",
            peer=entry.database,
        )
    return AcceptedManifest(spec=spec_of(manifest, version=entry.version), entry=entry)
