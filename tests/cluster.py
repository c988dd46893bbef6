"""Runs stand-ins and daemons as processes, for process tests and the demo."""

import hashlib
import json
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_TIMEOUT = 40.0
SECRET = "not-so-secret-link"
SESSION_KEY = "not-so-secret-session"
MEMBER_KEY = "locked-members-key"
MEMBER_KEY_HASH = hashlib.sha256(MEMBER_KEY.encode()).hexdigest()
SCHEMA = """
CREATE TABLE requests (id INTEGER PRIMARY KEY, applicant TEXT, status TEXT);
INSERT INTO requests VALUES (1, 'first', 'filed');
"""


@dataclass
class Response:
    """An HTTP response."""

    status: int
    headers: dict
    body: dict

    @property
    def session(self):
        """The session token of the response."""
        return self.headers.get("Gypsum-Session", "")


def http_call(url, *, method="GET", body=None, headers=None, timeout=30.0):
    """Send an HTTP request; error responses are returned, not raised."""
    data = body.encode() if isinstance(body, str) else body
    if isinstance(body, dict):
        data = json.dumps(body).encode()
    req = urllib.request.Request(
        url, data=data, method=method, headers=dict(headers or {})
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout) as response:
            return parse_response(response.status, response)
    except urllib.error.HTTPError as exc:
        with exc:
            return parse_response(exc.code, exc)


def parse_response(status, response):
    """Parse a response; a body that is not JSON becomes `{"text": ...}`."""
    raw = response.read()
    try:
        body = json.loads(raw)
    except ValueError:
        body = {"text": raw.decode(errors="replace")}
    return Response(status=status, headers=dict(response.headers), body=body)


@dataclass
class Process:
    """A started process and the fields of its ready line."""

    name: str
    popen: subprocess.Popen
    ready: list = field(default_factory=list)

    def wait_ready(self, timeout=START_TIMEOUT):
        """Wait for the ready line and parse it."""
        found, _, _ = select.select([self.popen.stdout], [], [], timeout)
        line = self.popen.stdout.readline().decode() if found else ""
        if not line.startswith("ready"):
            raise RuntimeError(f"{self.name} did not start: {line!r}")
        self.ready = line.split()[1:]
        return self

    def signal(self, number):
        """Send a signal to this process only."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process, also if it is stopped by a signal."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait(START_TIMEOUT)


class Cluster:
    """A platform, a group of three upstreams, and several daemons."""

    def __init__(self, *, daemons=3, database="grid", lag_ms=40, tuning=None):
        self.database = database
        self.temp_dir = tempfile.TemporaryDirectory(prefix="gypsum-")
        self.path = Path(self.temp_dir.name)
        self.processes = []
        self.upstreams = {}
        self.sql_ports = {}
        self.daemons = {}
        self.lag_ms = lag_ms
        self.tuning = tuning or {}
        self.platform = None
        self.daemon_count = daemons

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Starting

    def start(self):
        """Start all processes and apply the manifest."""
        self.start_platform()
        self.start_upstreams()
        for number in range(self.daemon_count):
            self.spawn_daemon(number)
        for daemon in self.daemons.values():
            daemon.wait_ready()
        self.publish_instances()
        self.write_manifest()
        if self.daemons:
            self.wait_for_equal_lists()

    def spawn(self, name, args):
        """Start a process."""
        with (self.path / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(
                args,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name=name, popen=popen)
        self.processes.append(process)
        return process

    def start_platform(self):
        """Start the stand-in for the platform."""
        args = [sys.executable, "-m", "tests.standins.platform"]
        self.platform = self.spawn("platform", args).wait_ready()
        self.platform_url = f"http://{HOST}:{self.platform.ready[0]}"

    def start_upstreams(self):
        """Start the group: u1 is primary, the others replicate with a lag."""
        for name in ("u1", "u2", "u3"):
            self.start_upstream(name, primary=name == "u1")
        for name in self.upstreams:
            for other, process in self.upstreams.items():
                port = process.ready[1]
                self.upstream_sql(name, f"CALL test_ship('{other}', {port})")

    def start_upstream(self, name, *, primary):
        """Start an empty upstream on free ports."""
        cfg = {
            "id": name,
            "primary": primary,
            "follows": "" if primary else "u1",
            "schema": SCHEMA,
            "apply_lag_ms": 0 if primary else self.lag_ms,
        }
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(cfg))
        args = [sys.executable, "-m", "tests.standins.upstream", str(path)]
        process = self.spawn(name, args).wait_ready()
        self.upstreams[name] = process
        self.sql_ports[name] = int(process.ready[0])

    def daemon_settings(self, number):
        """Return the settings of a daemon."""
        return {
            "daemon": f"d{number}",
            "domain": f"fd{number % 3}",
            "callers": {"host": HOST, "port": 0},
            "peers": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0},
            "platform": self.platform_url,
            "link_secret": SECRET,
            "session_keys": [SESSION_KEY],
            "instance_poll_s": 0.2,
            "seeds": [
                {"id": name, "domain": f"fd{int(name[1:]) % 3}", "address": address}
                for name, address in self.peer_addresses().items()
                if name != f"d{number}"
            ],
            "tuning": self.tuning,
        }

    def spawn_daemon(self, number):
        """Start a daemon without waiting until it is ready."""
        name = f"d{number}"
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(self.daemon_settings(number)))
        binary = Path(sys.executable).parent / "gypsumhitchd"
        process = self.spawn(name, [str(binary), "--settings", str(path)])
        self.daemons[name] = process
        return process

    def peer_addresses(self):
        """Return the link addresses of the daemons that are ready."""
        return {
            name: f"{HOST}:{ports(process)['peers']}"
            for name, process in self.daemons.items()
            if process.ready
        }

    def publish_instances(self, *, leaving=()):
        """Set the platform's instance list."""
        addresses = self.peer_addresses()
        instances = [
            {
                "id": name,
                "role": "daemon",
                "domain": f"fd{int(name[1:]) % 3}",
                "address": addresses[name],
                "leaving": name in leaving,
            }
            for name in self.daemons
        ] + [
            {
                "id": name,
                "role": "upstream",
                "domain": f"fd{int(name[1:]) % 3}",
                "leaving": name in leaving,
            }
            for name in self.upstreams
        ]
        url = f"{self.platform_url}/instances"
        http_call(url, method="PUT", body={"instances": instances})

    def set_faults(self, **faults):
        """Set the platform's faults."""
        http_call(f"{self.platform_url}/faults", method="PUT", body=faults)

    def manifest(self):
        """Return the manifest that the tests use."""
        return {
            "database": self.database,
            "upstreams": [
                {
                    "id": name,
                    "domain": f"fd{int(name[1:]) % 3}",
                    "host": HOST,
                    "port": self.sql_ports[name],
                    "slots": 5,
                    "connections": 35,
                }
                for name in self.upstreams
            ],
            "kinds": [
                {"name": "status", "mode": "read", "max_age_ms": 2000, "worth": 1},
                {"name": "review", "mode": "read", "max_age_ms": 0, "worth": 3},
                {"name": "submit", "mode": "write", "worth": 10, "repeatable": False},
                {"name": "note", "mode": "write", "worth": 2},
                {"name": "plan", "mode": "transaction", "worth": 5},
            ],
            "members": [
                {"name": "north", "weight": 2},
                {"name": "south"},
                {"name": "locked", "key_hashes": [MEMBER_KEY_HASH]},
            ],
        }

    def write_manifest(self):
        """Apply the manifest and wait until it is in force."""
        path = self.path / "manifest.json"
        path.write_text(json.dumps(self.manifest()))
        done = self.command("apply", str(path), "--platform", self.platform_url)
        if done.returncode:
            raise RuntimeError(done.stderr)
        self.wait_in_force()

    def wait_in_force(self, timeout=START_TIMEOUT):
        """Wait until the accepted version is in force on all daemons."""
        end = time.monotonic() + timeout
        while self.status().returncode:
            if time.monotonic() > end:
                raise RuntimeError("the manifest did not come into force")
            time.sleep(0.1)

    def wait_for_equal_lists(self, timeout=START_TIMEOUT):
        """Wait until all daemons have the complete instance list."""
        end = time.monotonic() + timeout
        names = set(self.daemons)
        while any(set(self.explain(name)["order"]) != names for name in names):
            if time.monotonic() > end:
                raise RuntimeError("the daemons have different instance lists")
            time.sleep(0.05)

    def status(self):
        """Run `gypsumhitch status` for all running daemons."""
        live = [item for item in self.daemons.values() if item.popen.poll() is None]
        args = []
        for item in live:
            args += ["--daemon", f"{HOST}:{ports(item)['operators']}"]
        return self.command("status", "--platform", self.platform_url, *args)

    def command(self, *args):
        """Run `gypsumhitch`."""
        binary = Path(sys.executable).parent / "gypsumhitch"
        return subprocess.run(
            [str(binary), *args],
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT,
            check=False,
        )

    # Requests

    def url(self, daemon, path):
        """Return the URL of a daemon's API for callers."""
        port = ports(self.daemons[daemon])["callers"]
        return f"http://{HOST}:{port}/v1/{self.database}/{path}"

    def operator_url(self, daemon, path):
        """Return the URL of a daemon's API for operators."""
        return f"http://{HOST}:{ports(self.daemons[daemon])['operators']}{path}"

    def query(self, daemon, kind, sql, params=(), *, member="north", **headers):
        """Run a statement through a daemon; `_` in header names stands for `-`."""
        body = {"kind": kind, "member": member, "sql": sql, "params": list(params)}
        return self.post(daemon, "query", body, **headers)

    def post(self, daemon, path, body, **headers):
        """Send a POST request to a daemon."""
        named = {
            name.replace("_", "-"): value for name, value in headers.items() if value
        }
        return http_call(
            self.url(daemon, path), method="POST", body=body, headers=named
        )

    def explain(self, daemon):
        """Return a daemon's view of the database."""
        return http_call(self.operator_url(daemon, f"/explain/{self.database}")).body

    def metrics(self, daemon):
        """Return a daemon's metrics."""
        return http_call(self.operator_url(daemon, "/metrics")).body["text"]

    def health(self, daemon):
        """Return the response of a daemon's readiness check."""
        return http_call(self.operator_url(daemon, "/health/ready"))

    def home(self):
        """Return the name of the database's home and its state."""
        order = self.explain(next(iter(self.live_daemons())))["order"]
        return order[0], self.explain(order[0])["home"]

    def live_daemons(self):
        """Return the names of the running daemons."""
        return [
            name for name, item in self.daemons.items() if item.popen.poll() is None
        ]

    def upstream_sql(self, name, sql):
        """Run a statement directly at an upstream."""
        import asyncio

        return asyncio.run(run_sql_at(self.sql_ports[name], sql))

    # Stopping

    def stop(self):
        """Kill all processes."""
        for process in reversed(self.processes):
            process.kill()
            process.popen.stdout.close()
        self.temp_dir.cleanup()

    def logs(self, name):
        """Return what a process wrote to standard error."""
        return (self.path / f"{name}.log").read_text(errors="replace")


def ports(process):
    """Return the ports in a daemon's ready line."""
    return dict(item.split("=") for item in process.ready[1:])


async def run_sql_at(port, sql):
    """Run a statement at an upstream."""
    import asyncmy

    conn = await asyncmy.connect(host=HOST, port=port, user="test", autocommit=True)
    try:
        async with conn.cursor() as cursor:
            await cursor.execute(sql)
            return await cursor.fetchall()
    finally:
        conn.close()
