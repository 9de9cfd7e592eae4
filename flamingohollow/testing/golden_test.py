"""Compares sessions of callers and operators with golden/*.txt.

Each session is a list of commands run against real processes. Their output must
equal the file after times, ports, ids and paths are normalised. Set
FLAMINGOHOLLOW_WRITE_GOLDEN=1 to rewrite the files.
"""

import json
import os
import re
import signal
import unittest

from cluster import ROOT, TABLE, ClusterTest, wait_until

GOLDEN = ROOT / "golden"


class GoldenTest(ClusterTest):
    maxDiff = None
    table = None

    def setUp(self):
        super().setUp()
        self.lines = []

    def normalize(self, text):
        text = text.replace(str(self.cluster.dir), "DIR")
        text = re.sub(r"127\.0\.0\.1:\d+", "HOST:PORT", text)
        text = re.sub(r'"job":"\d+"', '"job":"N"', text)
        text = re.sub(r"\bjob \d+", "job N", text)
        text = re.sub(r'"(at_ms|ordered_ms|term|committed|match|incarnation)":"?\d+"?',
                      r'"\1":N', text)
        text = re.sub(r'"worker":"worker-\d+"', '"worker":"worker-N"', text)
        text = re.sub(r"\bworker-\d+\b", "worker-N", text)
        text = re.sub(r"\bcontrol-\d+\b", "control-N", text)
        # The progress of an accepted job depends on timing.
        text = re.sub(r'"outcome":"(accepted|queued|preparing|starting)",'
                      r'"reason":"","retry_after_ms":0,"attempt":\d+,'
                      r'"workers":\[[^]]*\]',
                      '"outcome":"NOT_STARTED"', text)
        text = re.sub(r'"retry_after_ms":[1-9]\d*', '"retry_after_ms":N', text)
        return text

    def cmd(self, *arguments, **options):
        """Runs the tool; appends the command and its output to the session."""
        run = self.cluster.tool("--json", *arguments, **options)
        self.lines.append("$ flamingohollow " + " ".join(arguments))
        self.lines += (run.out + run.err).splitlines()
        self.lines.append(f"exit {run.code}")
        self.lines.append("")
        return run

    def write(self, name, text):
        path = self.cluster.dir / name
        path.write_text(text)
        return str(path)

    def check(self, name):
        text = self.normalize("\n".join(self.lines))
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("FLAMINGOHOLLOW_WRITE_GOLDEN"):
            path.write_text(text)
        self.assertEqual(text, path.read_text())

    def test_first_gang(self):
        table = self.write("table.csv", TABLE)
        self.cmd("init")
        self.cmd("table", "apply", table, "--dry_run", "--request_id=t0")
        self.cmd("table", "apply", table, "--request_id=t1")
        self.cmd("table", "show")
        self.cmd("submit", "--customer=acme", "--accelerators=16",
                 "--adjacency=failure_domain", "--run_ms=50",
                 "--request_id=gang-1", "--wait")
        self.check("first_gang")

    def test_racing_operators(self):
        first = self.write("first.csv", TABLE)
        second = self.write("second.csv", TABLE.replace("acme,1,", "acme,3,"))
        self.cmd("table", "apply", first, "--request_id=t1")
        self.cmd("table", "apply", second, "--base_version=1",
                 "--request_id=t2")
        self.cmd("table", "apply", first, "--base_version=1",
                 "--request_id=t3")
        self.cmd("table", "apply", second, "--base_version=1",
                 "--request_id=t2")
        self.cmd("table", "apply", first, "--base_version=1",
                 "--request_id=t2")
        self.cmd("table", "show")
        self.check("racing_operators")

    def test_resend(self):
        self.cmd("table", "apply", self.write("t.csv", TABLE),
                 "--request_id=t1")
        submit = ["submit", "--customer=acme", "--accelerators=8",
                  "--run_ms=50", "--request_id=once", "--wait"]
        self.cmd(*submit)
        self.cmd(*submit, servers=self.cluster.servers()[1:2])
        self.cmd("submit", "--customer=acme", "--accelerators=4",
                 "--run_ms=50", "--request_id=once", "--wait")
        self.assertEqual(len(self.cluster.starts("once")), 1)
        self.check("resend")

    def test_cancel(self):
        self.cmd("table", "apply", self.write("t.csv", TABLE),
                 "--request_id=t1")
        run = self.cmd("submit", "--customer=acme", "--accelerators=8",
                       "--run_ms=60000", "--request_id=long")
        job = json.loads(run.out)["job"]
        wait_until("the job runs", lambda: self.cluster.starts("long"))
        self.cluster.ask("job", "cancel", job)
        wait_until("the job ends", lambda: self.cluster.ask(
            "job", "show", job)[1]["outcome"] == "cancelled")
        self.cmd("job", "cancel", job)
        self.cmd("job", "show", job)
        self.lines = [line.replace(f" {job}", " N") if line.startswith("$")
                      else line for line in self.lines]
        self.check("cancel")

    def test_refusals(self):
        self.cmd("table", "apply", self.write("t.csv", TABLE),
                 "--request_id=t1")
        self.cmd("submit", "--customer=acme", "--accelerators=9",
                 "--adjacency=worker", "--request_id=never", "--wait")
        self.cmd("submit", "--customer=nobody", "--accelerators=1",
                 "--request_id=r2", "--wait")
        self.cmd("submit", "--customer=zenith", "--accelerators=1",
                 "--request_id=r3", "--wait", token="acme")
        self.cmd("status", token="worker")
        self.cmd("job", "show", "999999")
        self.cmd("submit", "--customer=acme")
        self.cmd("dance")
        self.check("refusals")

    def test_bad_table(self):
        for name, text in [
                ("column.csv", TABLE.replace("weight", "height")),
                ("number.csv", TABLE.replace("acme,1,", "acme,heavy,")),
                ("shape.csv", TABLE.replace("1x16@", "1x16#")),
                ("twice.csv", TABLE + TABLE.splitlines()[1] + "\n"),
                ("impossible.csv", TABLE.replace("1x16@", "9x16@"))]:
            self.cmd("table", "apply", self.write(name, text),
                     f"--request_id={name}")
        self.check("bad_table")

    def test_evacuation(self):
        self.cmd("table", "apply", self.write("t.csv", TABLE),
                 "--request_id=t1")
        self.cmd("evacuate", "nowhere")
        for domain in ("saigon-a", "binh-duong", "can-tho"):
            self.cmd("evacuate", domain)
        self.cmd("evacuate", "--list", servers=self.cluster.servers()[1:2])
        submit = ["submit", "--customer=acme", "--accelerators=8",
                  "--run_ms=50", "--request_id=waits"]
        self.cmd(*submit, "--wait", "--wait_ms=1000")
        self.assertEqual(self.cluster.starts("waits"), [])
        self.cmd("evacuate", "--end", "saigon-a")
        self.cmd("evacuate", "--list")
        self.cmd(*submit, "--wait")
        self.check("evacuation")

    def test_worker_leaves(self):
        # The guarantee must fit on the one worker that remains.
        table = TABLE.splitlines()[0] + "\nacme,1,1x8@worker,16,1000,1000\n"
        self.cmd("table", "apply", self.write("t.csv", table),
                 "--request_id=t1")
        for number in range(5):
            self.cluster.kill(f"worker-{number}", signal.SIGUSR1)
        wait_until("the workers leave", lambda: sum(
            worker["state"] == "leaving"
            for worker in self.cluster.ask("workers")[1]["workers"]) == 5)
        self.cmd("submit", "--customer=acme", "--accelerators=8",
                 "--run_ms=50", "--request_id=last", "--wait")
        starts = {event["worker"] for event in self.cluster.starts("last")}
        self.assertEqual(starts, {"worker-5"})
        self.check("worker_leaves")


if __name__ == "__main__":
    unittest.main()
