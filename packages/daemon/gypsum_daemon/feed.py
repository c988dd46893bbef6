"""Reads instances and manifests from the platform and records the leader status."""

import asyncio
import json

from tornado.httpclient import HTTPClientError

from gypsum_core.events import InstancesReceived
from gypsum_core.messages import ManifestEntry
from gypsum_core.spec import Instance, InstanceRole
from gypsum_daemon import logs
from gypsum_platform.client import PlatformError

PART = "platform"
DATABASES = "databases"
STATUS = "status"
WATCH_TIMEOUT = 20.0
MAX_RETRY_DELAY = 5.0
MIN_RETRY_DELAY = 0.2
IDLE_CHECK_INTERVAL = 0.5
SOURCE = "platform"


class PlatformFeed:
    """Passes the platform's state to the node; an outage only delays updates."""

    def __init__(self, *, shell, client, settings):
        self.shell = shell
        self.client = client
        self.settings = settings
        self.revision = 0
        self.loaded = False
        self.tasks = set()

    def start(self):
        """Start watching; the seeds are used until the instance list is loaded."""
        if self.settings.seeds:
            self.shell.handle_event(InstancesReceived(instances=self.seed_instances()))
        self.shell.record_status = self.record_status
        for watch in (self.poll_instances, self.watch_manifests):
            self.spawn(watch())

    def spawn(self, coroutine):
        """Run a coroutine as a task that `stop` cancels."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def seed_instances(self):
        """Return the seeds and this daemon as instances."""
        own = Instance(
            id=self.settings.daemon,
            role=InstanceRole.DAEMON,
            domain=self.settings.domain,
        )
        seeds = tuple(
            Instance(
                id=seed.id,
                role=InstanceRole.DAEMON,
                domain=seed.domain,
                address=seed.address,
            )
            for seed in self.settings.seeds
            if seed.id != self.settings.daemon
        )
        return (own, *seeds)

    def stop(self):
        """Stop watching."""
        for task in list(self.tasks):
            task.cancel()

    async def poll_instances(self):
        """Read the instance list once, and at intervals while this daemon watches.

        If every daemon polled it, the calls would grow with the fleet: 4,000 daemons
        would send more than the platform can answer.
        """
        while True:
            if self.shell.node.should_poll_instances():
                await self.read_instances()
            await asyncio.sleep(self.settings.instance_poll_s)

    async def read_instances(self):
        """Read the instance list."""
        try:
            listing = await self.client.list_instances()
        except (PlatformError, HTTPClientError) as exc:
            logs.write(PART, f"cannot read the instance list: {exc}")
            return
        self.shell.handle_event(
            InstancesReceived(instances=listing.instances, revision=listing.revision)
        )

    async def watch_manifests(self):
        """Load all manifests, then watch them while this daemon is a watcher."""
        delay = MIN_RETRY_DELAY
        while True:
            try:
                await self.update_manifests()
                delay = MIN_RETRY_DELAY
            except (PlatformError, HTTPClientError, KeyError) as exc:
                logs.write(PART, f"cannot read the manifests: {exc}")
                await asyncio.sleep(delay)
                delay = min(MAX_RETRY_DELAY, 2 * delay)

    async def update_manifests(self):
        """List the manifests, wait for changes, or sleep if others watch."""
        if not self.loaded:
            listing = await self.client.list_objects(DATABASES)
            self.apply_listing(listing, complete=True)
            self.loaded = True
        elif self.shell.node.manifests.is_watcher():
            listing = await self.client.watch(
                DATABASES, since=self.revision, wait=WATCH_TIMEOUT
            )
            self.apply_listing(listing, complete=False)
        else:
            # Other daemons watch and forward changes.
            await asyncio.sleep(IDLE_CHECK_INTERVAL)

    def apply_listing(self, listing, *, complete):
        """Apply a listing; the revision never decreases, as responses may be stale."""
        self.revision = max(self.revision, listing.revision)
        entries = tuple(
            ManifestEntry(database=item.name, version=item.version, body=item.body)
            for item in listing.objects
        )
        self.shell.handle_manifests(entries, source=SOURCE, complete=complete)

    def record_status(self, action):
        """Write the leader into the status object, best effort."""
        self.spawn(self.put_status(action))

    async def put_status(self, action):
        """Write the status unless the stored one has a later term."""
        body = json.dumps(
            {
                "primary": action.primary,
                "term": action.position.term,
                "index": action.position.index,
                "daemon": self.settings.daemon,
            }
        )
        try:
            stored = await self.client.get_object(STATUS, action.database)
            if stored.version and json.loads(stored.body)["term"] > (
                action.position.term
            ):
                return
            await self.client.put_object(
                STATUS, action.database, body, expect=stored.version
            )
        except PlatformError as exc:
            logs.write(PART, f"{action.database}: status not recorded: {exc}")
