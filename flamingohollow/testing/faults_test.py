"""Tests of real processes under kills, freezes, wiped data folders, restarts
and races. Every answer is compared with the events recorded by the workers."""

import shutil
import signal
import threading
import time
import unittest

from cluster import TABLE, ClusterTest, finish, wait_until

CONTROLS = ["control-0", "control-1", "control-2"]


def changed_table(weight):
    return TABLE.replace("acme,1,", f"acme,{weight},")


class ControlFaults(ClusterTest):
    """Control processes are killed, freeze, lose their folders and restart."""

    def leader(self):
        return wait_until("a leader is known", self.cluster.leader)

    def table_version(self, **options):
        code, table = self.cluster.ask("table", "show", **options)
        return table["version"] if code == 0 else None

    def apply_weight(self, weight, *flags):
        """Applies one change and returns its version."""
        code, answer = self.cluster.apply(changed_table(weight), *flags)
        self.assertEqual(code, 0, answer)
        return answer["version"]

    def wait_in_force(self):
        """Waits until the table is in force everywhere. The requirement is
        "within seconds"; the limit of 18 s includes the lease time."""
        def in_force():
            code, status = self.cluster.ask("table", "status")
            return code == 0 and status["in_force"]
        wait_until("the table is in force everywhere", in_force, 18)

    def test_killed_leader_reverts_nothing(self):
        version = self.apply_weight(2)
        leader = self.leader()
        self.cluster.kill(leader)
        started = time.monotonic()
        self.assertEqual(
            wait_until("a new leader shows the table", self.table_version),
            version)
        print(f"table shown {time.monotonic() - started:.2f} s after kill -9 "
              "of the leader", flush=True)
        self.assertEqual(self.apply_weight(3), version + 1)
        self.cluster.start(leader)
        self.wait_in_force()

    def test_frozen_leader_serves_nothing_old(self):
        leader = self.leader()
        self.cluster.kill(leader, signal.SIGSTOP)
        wait_until("another leader shows the table", self.table_version)
        version = self.apply_weight(4)
        time.sleep(20)
        self.cluster.kill(leader, signal.SIGCONT)
        for server in self.cluster.servers():
            for _ in range(5):
                self.assertEqual(
                    wait_until("the table is shown",
                               lambda s=server: self.table_version(
                                   servers=[s])), version)
        self.wait_in_force()

    def test_restart_of_all_after_many_changes(self):
        for weight in range(2, 302):
            version = self.apply_weight(weight, f"--base_version={weight - 1}")
        self.assertEqual(version, 301)
        names = CONTROLS + ["entry-0", "entry-1", "entry-2"]
        for name in names:
            self.cluster.kill(name)
        for name in names:
            self.cluster.wait_exit(name)
            self.cluster.start(name)
        self.assertEqual(
            wait_until("the table is shown", self.table_version), version)
        self.wait_in_force()
        code, answer = self.submit(request_id="after")
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)

    def test_wiped_voter_returns_and_a_second_loss_loses_nothing(self):
        version = self.apply_weight(2)
        leader = self.leader()
        wiped, other = [name for name in CONTROLS if name != leader]
        self.cluster.kill(wiped)
        self.cluster.wait_exit(wiped)
        shutil.rmtree(self.cluster.dir / "data" / wiped)
        self.cluster.start(wiped)
        code, answer = self.cluster.ask("voter", "remove", wiped)
        self.assertEqual(code, 0, answer)
        address = self.control_address(wiped)
        code, answer = self.cluster.ask("voter", "add", wiped, address)
        self.assertEqual(code, 0, answer)
        wait_until("the wiped node is a full voter",
                   lambda: self.voter_is_full(wiped))
        version = self.apply_weight(3)
        self.cluster.kill(other)
        self.assertEqual(
            wait_until("the table is shown", self.table_version), version)
        self.assertEqual(self.apply_weight(5), version + 1)

    def control_address(self, name):
        for line in (self.cluster.dir / "settings" / f"{name}.yaml"
                     ).read_text().splitlines():
            if line.startswith("listen: "):
                return line.split(": ", 1)[1].strip('"')
        raise AssertionError(f"{name} has no address")

    def voter_is_full(self, name):
        code, status = self.cluster.ask("status")
        return code == 0 and any(
            voter["name"] == name and not voter["learner"]
            for voter in status["voters"])

    def test_graceful_stop_of_the_leader(self):
        leader = self.leader()
        self.cluster.kill(leader, signal.SIGTERM)
        started = time.monotonic()
        self.assertTrue(wait_until("the table is shown", self.table_version))
        print(f"table shown {time.monotonic() - started:.2f} s after SIGTERM "
              "to the leader", flush=True)
        self.cluster.wait_exit(leader)

    def test_racing_operators_under_kills(self):
        """Of the changes based on one version, exactly one is accepted."""
        accepted = []
        lock = threading.Lock()

        def race(operator):
            for base in range(1, 9):
                path = self.cluster.dir / f"race-{operator}.csv"
                path.write_text(changed_table(100 * operator + base))
                flags = [str(path), f"--base_version={base}",
                         "--retry_ms=20000",
                         f"--request_id=race-{operator}-{base}"]
                code, answer = self.cluster.ask("table", "apply", *flags)
                self.assertIn(code, (0, 1), answer)
                if code == 0:
                    with lock:
                        accepted.append(answer["version"])
                wait_until("the version increases", lambda b=base: (
                    self.table_version() or 0) > b)

        threads = [threading.Thread(target=race, args=(operator,))
                   for operator in range(3)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        killed = self.leader()
        self.cluster.kill(killed)
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(accepted), list(range(2, 10)))
        self.cluster.start(killed)
        self.wait_in_force()


class JobFaults(ClusterTest):
    """Jobs that run while entries, leaders and workers are killed."""

    def test_gang_survives_the_leader(self):
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=16",
            "--adjacency=failure_domain", "--run_ms=3000",
            "--request_id=gang", "--wait")
        wait_until("the gang runs", lambda: len(
            self.cluster.starts("gang")) == 2)
        self.cluster.kill(wait_until("a leader is known", self.cluster.leader))
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)
        self.assert_answer_matches_events(answer)
        self.assert_at_most_once("gang")
        self.assert_all_accelerators("gang", 16)

    def test_caller_of_a_killed_entry_gets_its_answer_elsewhere(self):
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=8",
            "--run_ms=1500", "--request_id=moved", "--wait")
        wait_until("the job runs", lambda: self.cluster.starts("moved"))
        self.cluster.kill("entry-0")
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)
        self.assert_at_most_once("moved")

    def test_killed_worker_under_a_non_idempotent_gang(self):
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=16",
            "--adjacency=failure_domain", "--run_ms=60000",
            "--request_id=lost", "--wait")
        starts = wait_until("the gang runs", lambda: (
            len(self.cluster.starts("lost")) == 2
            and self.cluster.starts("lost")))
        self.cluster.kill(starts[0]["worker"])
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (3, "unknown"), answer)
        self.assert_at_most_once("lost")
        other = starts[1]["worker"]
        wait_until("the rest of the gang stops", lambda: any(
            event["event"] == "stop" and event["worker"] == other
            for event in self.cluster.events()))

    def test_killed_worker_under_an_idempotent_gang(self):
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=16",
            "--adjacency=failure_domain", "--run_ms=2000", "--idempotent",
            "--request_id=again", "--wait")
        starts = wait_until("the gang runs", lambda: (
            len(self.cluster.starts("again")) == 2
            and self.cluster.starts("again")))
        self.cluster.kill(starts[0]["worker"])
        self.cluster.start(starts[0]["worker"])
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)
        self.assert_answer_matches_events(answer)
        self.assert_all_accelerators("again", 16)

    def test_every_request_has_one_outcome_under_kills(self):
        """Kills the leader and an entry, twice, while callers submit jobs."""
        outcomes = {}
        lock = threading.Lock()

        def submit(caller):
            for number in range(6):
                request_id = f"load-{caller}-{number}"
                code, answer = self.submit(
                    "--retry_ms=20000", request_id=request_id,
                    accelerators=4, run_ms=100)
                with lock:
                    outcomes[request_id] = (code, answer)

        threads = [threading.Thread(target=submit, args=(caller,))
                   for caller in range(6)]
        for thread in threads:
            thread.start()
        for entry in ("entry-0", "entry-1"):
            time.sleep(0.7)
            leader = wait_until("a leader is known", self.cluster.leader)
            self.cluster.kill(leader)
            self.cluster.kill(entry)
            for name in (leader, entry):
                self.cluster.wait_exit(name)
                self.cluster.start(name)
        for thread in threads:
            thread.join()
        self.assertEqual(len(outcomes), 36)
        unknown = 0
        for request_id, (_, answer) in outcomes.items():
            self.assert_answer_matches_events(answer)
            self.assert_at_most_once(request_id)
            unknown += answer["outcome"] == "unknown"
            if answer["job"]:
                _, again = self.cluster.ask("job", "show", answer["job"])
                self.assertEqual(again["outcome"], answer["outcome"])
        print(f"{unknown} of {len(outcomes)} requests ended unknown",
              flush=True)


class Shutdown(ClusterTest):
    """Graceful stops lose no requests and no running jobs."""

    def check_caller_outlives_its_entry(self, request_id):
        """Stops the entry that a caller waits on; the caller still gets the
        job's outcome."""
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=8", "--run_ms=1500",
            f"--request_id={request_id}", "--wait")
        wait_until("the job runs", lambda: self.cluster.starts(request_id))
        self.cluster.kill("entry-0", signal.SIGTERM)
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)
        self.cluster.wait_exit("entry-0")
        self.assert_at_most_once(request_id)

    def test_entry_stops_without_cutting_off_a_waiting_caller(self):
        self.check_caller_outlives_its_entry("waits")

    def test_refused_resend_of_an_accepted_job_is_no_outcome(self):
        """Limits acme to a rate of 1, so that a resend after the entry stops
        may be refused; the refusal must not count as the job's outcome."""
        code, answer = self.cluster.apply(
            TABLE.replace("16,1000,1000", "16,1000,1"))
        self.assertEqual(code, 0, answer)
        self.check_caller_outlives_its_entry("slow")

    def test_leaving_worker_gets_no_new_work(self):
        self.cluster.kill("worker-0", signal.SIGUSR1)
        left_at = time.time() * 1000
        for number in range(20):
            code, answer = self.submit(request_id=f"leave-{number}",
                                       accelerators=4, run_ms=10)
            self.assertEqual(code, 0, answer)
        late = [event for event in self.cluster.events()
                if event["worker"] == "worker-0"
                and event["event"] == "start"
                and event["at_ms"] > left_at + 3000]
        self.assertEqual(late, [])

    def test_leaving_worker_finishes_what_runs(self):
        job = self.cluster.begin(
            "submit", "--customer=acme", "--accelerators=8", "--run_ms=1500",
            "--request_id=rest", "--wait")
        start = wait_until("the job runs",
                           lambda: self.cluster.starts("rest"))[0]
        self.cluster.kill(start["worker"], signal.SIGTERM)
        code, answer = finish(job)
        self.assertEqual((code, answer["outcome"]), (0, "completed"), answer)
        self.cluster.wait_exit(start["worker"])


class Idle(ClusterTest):
    """The state of an idle cluster doesn't change."""

    def test_idle_workers_stay_ready(self):
        time.sleep(8)
        code, answer = self.cluster.ask("workers")
        self.assertEqual(code, 0, answer)
        self.assertEqual({worker["state"] for worker in answer["workers"]},
                         {"ready"})


class BadWorkers(ClusterTest):
    """Workers that fail, answer late or twice, or refuse."""

    shape = {"modes": ["worker-0:fail_all", "worker-1:late", "worker-2:twice",
                       "worker-3:refuse"]}

    def test_idempotent_work_completes_in_spite_of_them(self):
        for number in range(8):
            code, answer = self.submit(
                "--idempotent", request_id=f"bad-{number}", accelerators=8,
                run_ms=20)
            self.assertEqual((code, answer["outcome"]), (0, "completed"),
                             answer)
            self.assert_answer_matches_events(answer)


if __name__ == "__main__":
    unittest.main()
