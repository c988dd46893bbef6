"""What the daemon learns from the platform, and the little it tells it."""

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
WATCH_WAIT = 20.0
SLOWEST_RETRY = 5.0
FIRST_RETRY = 0.2
IDLE_CHECK = 0.5
SOURCE = "platform"


class PlatformFeed:
    """Keeps the node informed; an outage of the platform only slows it."""

    def __init__(self, *, shell, client, settings):
        self.shell = shell
        self.client = client
        self.settings = settings
        self.revision = 0
        self.loaded = False
        self.tasks = set()

    def start(self):
        """Start watching; seeds stand in for the list until it is known."""
        if self.settings.seeds:
            self.shell.feed(InstancesReceived(instances=self.seed_instances()))
        self.shell.record_status = self.record_status
        for loop in (self.follow_instances, self.follow_manifests):
            self.spawn(loop())

    def spawn(self, work):
        """Run something beside the loop until it ends or we stop."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def seed_instances(self):
        """The seeds and this daemon as instances."""
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

    async def follow_instances(self):
        """Read the instance list once, and at intervals while we watch.

        What goes wrong if everyone reads it: the platform's calls grow with the
        fleet, and 4,000 daemons ask for more than it answers.
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
            logs.write(PART, f"no instance list: {exc}")
            return
        self.shell.feed(
            InstancesReceived(instances=listing.instances, revision=listing.revision)
        )

    async def follow_manifests(self):
        """Load all manifests once, then watch while it is our turn to."""
        pause = FIRST_RETRY
        while True:
            try:
                await self.follow_once()
                pause = FIRST_RETRY
            except (PlatformError, HTTPClientError, KeyError) as exc:
                logs.write(PART, f"no manifests: {exc}")
                await asyncio.sleep(pause)
                pause = min(SLOWEST_RETRY, 2 * pause)

    async def follow_once(self):
        """One call: the first listing, a watch, or a rest."""
        if not self.loaded:
            listing = await self.client.list_objects(DATABASES)
            self.take(listing, complete=True)
            self.loaded = True
        elif self.shell.node.manifests.is_watcher():
            listing = await self.client.watch(
                DATABASES, since=self.revision, wait=WATCH_WAIT
            )
            self.take(listing, complete=False)
        else:
            # Others watch for us and pass changes on.
            await asyncio.sleep(IDLE_CHECK)

    def take(self, listing, *, complete):
        """Hand a listing over; the revision only rises, as answers may be old."""
        self.revision = max(self.revision, listing.revision)
        entries = tuple(
            ManifestEntry(database=item.name, version=item.version, body=item.body)
            for item in listing.objects
        )
        self.shell.feed_manifests(entries, source=SOURCE, complete=complete)

    def record_status(self, action):
        """Write who leads into the status object, best effort."""
        self.spawn(self.put_status(action))

    async def put_status(self, action):
        """Write the status unless a later term stands there already."""
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
