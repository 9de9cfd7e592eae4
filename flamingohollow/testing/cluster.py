"""A cluster of real processes for the process tests.

Everything runs on loopback, every wait has a timeout, and processes are killed
by pid.
"""

import collections
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("FLAMINGOHOLLOW_BUILD", "build-test")
WAIT_S = 30

ToolResult = collections.namedtuple("ToolResult", "code out err")

TABLE = """customer,weight,guaranteed,max_borrowed,max_queued,max_rate
acme,1,1x16@failure_domain,16,1000,1000
zenith,2,2x8@worker,8,1000,1000
"""


def wait_until(what, condition, seconds=WAIT_S):
    """Waits for `condition` and returns its value; fails past `seconds`."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out: {what}")
        time.sleep(0.02)


class Cluster:
    """A cluster started by tools/devcluster."""

    def __init__(self, *, control=3, entry=3, workers=6, modes=()):
        self._folder = tempfile.TemporaryDirectory()
        self.dir = pathlib.Path(self._folder.name) / "cluster"
        command = ["up", str(self.dir), f"--control={control}",
                   f"--entry={entry}", f"--workers={workers}",
                   f"--build={BUILD}"]
        command += [f"--worker_mode={mode}" for mode in modes]
        try:
            self.devcluster(*command)
        except AssertionError:
            self.close()
            raise

    def close(self):
        if self.dir.joinpath("processes.json").exists():
            self.devcluster("down", str(self.dir))
        self._folder.cleanup()

    @staticmethod
    def devcluster(*arguments):
        done = subprocess.run([str(ROOT / "tools/devcluster"), *arguments],
                              capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise AssertionError(f"devcluster {arguments}: {done.stderr}")

    # --- Processes.

    def pid(self, name):
        return int(self.dir.joinpath("pids", name).read_text())

    def kill(self, name, signal_number=signal.SIGKILL):
        os.kill(self.pid(name), signal_number)

    def wait_exit(self, name):
        wait_until(f"{name} ends", lambda: not self.is_running(name))

    def is_running(self, name):
        try:
            stat = pathlib.Path(f"/proc/{self.pid(name)}/stat").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return False
        return stat.rsplit(")", 1)[1].split()[0] != "Z"

    def start(self, name):
        self.devcluster("start", str(self.dir), name)

    # --- The command-line tool.

    def servers(self):
        return self.dir.joinpath("servers").read_text().strip().split(",")

    def command(self, *arguments, token="operator", servers=None):
        return [str(BUILD / "flamingohollow"),
                f"--servers={','.join(servers or self.servers())}",
                f"--token_file={self.dir / f'{token}.token'}", *arguments]

    def tool(self, *arguments, **options):
        done = subprocess.run(self.command(*arguments, **options),
                              capture_output=True, text=True, check=False,
                              timeout=120)
        return ToolResult(done.returncode, done.stdout, done.stderr)

    def ask(self, *arguments, **options):
        """Runs the tool with --json; returns its exit code and object."""
        run = self.tool("--json", *arguments, **options)
        return run.code, json.loads(run.out)

    def begin(self, *arguments, **options):
        """Starts the tool with --json; end it with `finish`."""
        return subprocess.Popen(self.command("--json", *arguments, **options),
                                stdout=subprocess.PIPE, text=True)

    def apply(self, csv=TABLE, *flags):
        path = self.dir / "table.csv"
        path.write_text(csv)
        return self.ask("table", "apply", str(path), *flags)

    # --- HTTP.

    def http(self, method, path, body=None, headers=None, server=None,
             token="operator"):
        """Sends one request; returns status, headers and the raw body."""
        url = f"http://{server or self.servers()[0]}{path}"
        data = body if body is None or isinstance(body, bytes) else (
            json.dumps(body).encode())
        request = urllib.request.Request(url, data=data, method=method)
        if token:
            secret = self.dir.joinpath(f"{token}.token").read_text().strip()
            request.add_header("Authorization", f"Bearer {secret}")
        for name, value in (headers or {}).items():
            request.add_header(name, value)
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return answer.status, answer.headers, answer.read()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.headers, error.read()

    # --- Events recorded by the workers.

    def events(self):
        """Returns every event in the workers' event files."""
        events = []
        for path in sorted(self.dir.glob("data/worker-*/events.jsonl")):
            for line in path.read_text().splitlines():
                events.append({"worker": path.parent.name, **json.loads(line)})
        return events

    def starts(self, request_id):
        return [event for event in self.events()
                if event["event"] == "start"
                and event["request_id"] == request_id]

    def leader(self):
        code, status = self.ask("status")
        return status["leader"] if code == 0 else None


def finish(process):
    """Waits for a tool started with `begin`."""
    out, _ = process.communicate(timeout=120)
    return process.returncode, json.loads(out)


class ClusterTest(unittest.TestCase):
    """Starts a new cluster for each test. Subclasses set `shape`, the arguments
    of Cluster, and `table`, the customer table applied at the start."""

    shape = {}
    table = TABLE

    def setUp(self):
        known_red = os.environ.get("FLAMINGOHOLLOW_KNOWN_RED", "").split(",")
        name = f"{type(self).__name__}.{self._testMethodName}"
        if name in known_red:
            self.skipTest("listed in KNOWN-RED.txt")
        self.cluster = Cluster(**self.shape)
        self.addCleanup(self.cluster.close)
        if self.table:
            code, answer = self.cluster.apply(self.table)
            self.assertEqual(code, 0, answer)

    def submit(self, *flags, request_id=None, wait=True, customer="acme",
               accelerators=8, run_ms=50, **options):
        arguments = ["submit", f"--customer={customer}",
                     f"--accelerators={accelerators}", f"--run_ms={run_ms}"]
        if request_id:
            arguments.append(f"--request_id={request_id}")
        if wait:
            arguments.append("--wait")
        return self.cluster.ask(*arguments, *flags, **options)

    # --- Invariants, checked against the workers' events.

    def assert_answer_matches_events(self, answer):
        """Checks the answer to a submission against what the workers ran."""
        starts = self.cluster.starts(answer["request_id"])
        if answer["outcome"] == "not_run":
            self.assertEqual(starts, [], answer)
        if answer["outcome"] == "completed":
            self.assertTrue(starts, answer)
            last = max(event["attempt"] for event in starts)
            tasks = sorted({event["task"] for event in starts
                            if event["attempt"] == last})
            self.assertEqual(tasks, list(range(len(answer["parts"]))), answer)

    def assert_at_most_once(self, request_id):
        """Checks that no task of a non-idempotent request started twice, and
        that all starts belong to one job and one attempt."""
        starts = self.cluster.starts(request_id)
        tasks = [event["task"] for event in starts]
        self.assertEqual(len(tasks), len(set(tasks)), starts)
        self.assertLessEqual(len({event["job"] for event in starts}), 1)
        self.assertLessEqual(len({event["attempt"] for event in starts}), 1)

    def assert_all_accelerators(self, request_id, accelerators):
        """Checks that the last attempt ran on all `accelerators`; earlier
        attempts may have been stopped before that."""
        started_on = collections.Counter()
        for event in self.cluster.starts(request_id):
            started_on[event["attempt"]] += event["accelerators"]
        self.assertEqual(started_on[max(started_on)], accelerators, started_on)
