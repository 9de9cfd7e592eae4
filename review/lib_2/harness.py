"""What the scripts of this review share: a small deployment on loopback.

Control nodes and entries are the project's own programs, started as the deploy
file starts them. Workers and callers are the project's stand-ins, with workers
that can also crash, leave, return under their id, and carry out orders late.
"""

import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'platform' / 'testing'))

import standin  # pylint: disable=wrong-import-position,import-error

BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# As in the small deployments: the interval of heartbeats, and the longest time
# for which a worker holds what runs on it.
standin.HEARTBEAT_S = 1.5
LEASE_MS = 10000
STOP_GRACE_S = 0.4
standin.STOP_S = STOP_GRACE_S / 2
PROGRAM = ROOT / 'target' / 'flamingohollow_platform'


def key(number):
  return f'{number:016x}'


class CannotRun(Exception):
  """The case could not be set up."""


def stop_early(*_):
  raise CannotRun('the script was stopped')


class Journal:
  """Writes record.txt: what was sent, answered and run."""

  def __init__(self, path):
    self.began = time.monotonic()
    self.lock = threading.Lock()
    # run.sh begins the file.
    self.file = open(path, 'a', encoding='utf-8')  # pylint: disable=R1732

  def now(self):
    return time.monotonic() - self.began

  def write(self, text):
    with self.lock:
      self.file.write(f'{self.now():8.3f} {text}\n')
      self.file.flush()


class Record(standin.Record):
  """Also writes each start to the journal."""

  def __init__(self, journal):
    super().__init__()
    self.journal = journal
    self.ends = []

  def start(self, task, attempt, worker):
    super().start(task, attempt, worker)
    self.journal.write(f'run      {task}#{attempt} begins on {worker}')

  def note_end(self, task, attempt, worker, how):
    self.ends.append((time.monotonic(), task, attempt, worker, how))
    self.journal.write(f'run      {task}#{attempt} ends on {worker}: {how}')


class Worker(standin.Worker):
  """A worker that can crash, leave, return, and carry out orders late."""

  def __init__(self, name, address, rack, controls, record, kind):
    self.open_sockets = set()
    self.orders = 0
    # When each order came, and when those that got no answer did.
    self.order_times = []
    self.late_orders = 0
    self.late_times = []
    # Decides from (path, body) how many seconds late an order is carried out;
    # None for an order that is carried out and answered at once.
    self.lateness = None
    self.kind = kind
    super().__init__(name, address, rack, controls, record)

  def log(self, text):
    self.record.journal.write(f'worker   {self.name} {text}')

  def finish(self, key, how):  # pylint: disable=redefined-outer-name
    if key in self.runs:
      self.record.note_end(*key, self.name, how)
    super().finish(key, how)

  def start(self, body):
    # A task that lasts is due never.
    status, answer = super().start(body)
    if status != 200:
      self.log(f'refuses {body["task"]}#{body["attempt"]}: {answer}')
    # What was asked for beyond the longest time is cut down to it.
    self.lease = min(self.lease, self.clock() + LEASE_MS)
    return status, answer

  def answer_poll(self, body):
    result = super().answer_poll(body)
    self.lease = min(self.lease, self.clock() + LEASE_MS)
    return result

  def send_heartbeat(self):
    with self.lock:
      self.sequence += 1
      body = {
          'service': standin.POOL,
          'address': f'{self.address}:{standin.WORKER_PORT}', 'zone': 'z',
          'version': 'v1', 'slots': 8, 'cold-left-ms': 0,
          'state': 'draining' if self.draining else 'ready',
          'capacity': self.capacity, 'labels': [self.kind, self.rack],
          'server-time-ms': self.clock(), 'seq': self.sequence,
          'born': self.incarnation}
      if self.draining:
        body['remaining-ms'] = 2000
    for _ in self.controls:
      control = self.controls[self.next_control % len(self.controls)]
      status, _ = standin.call(control, standin.HTTP_PORT, 'PUT',
                               f'/instances/{self.name}', body, timeout=1)
      if status == 200:
        return
      self.next_control += 1

  def percent(self, run):
    return 100 if run['ms'] >= 10**8 else super().percent(run)

  # Losses.

  def crash(self):
    with self.lock:
      self.log('crashes')
      self.down_until = float('inf')
      for task, attempt in list(self.runs):
        self.record.end(task, self.name)
        self.record.note_end(task, attempt, self.name, 'worker crashed')
      self.runs = {}
    self.stop_listening()

  def stop_listening(self):
    self.server.shutdown()
    self.server.server_close()
    for connection in list(self.open_sockets):
      try:
        connection.shutdown(socket.SHUT_RDWR)
      except OSError:
        pass

  def come_back(self):
    """The next process, under the same id and at the same address."""
    with self.lock:
      self.reset()
      self.draining = False
      self.server = http.server.ThreadingHTTPServer(
          (self.address, standin.WORKER_PORT), self.make_handler())
      self.server.daemon_threads = True
      threading.Thread(target=self.server.serve_forever, daemon=True).start()
      self.down_until = 0
    self.log(f'is back, born {self.incarnation}')
    self.send_heartbeat()

  def leave(self, drain_s):
    """Says that it drains, waits until that is acknowledged, and ends."""
    with self.lock:
      self.draining = True
    self.log('says that it drains')
    self.send_heartbeat()
    time.sleep(drain_s)
    for control in self.controls:
      status, _ = standin.call(control, standin.HTTP_PORT, 'DELETE',
                               f'/instances/{self.name}', timeout=1)
      self.log(f'says that it leaves: {status}')
      if status == 200:
        break
    with self.lock:
      self.down_until = float('inf')
      for task, attempt in list(self.runs):
        self.record.end(task, self.name)
        self.record.note_end(task, attempt, self.name, 'worker left')
      self.runs = {}
    self.stop_listening()

  # Orders.

  def handle_command(self, path, expected, body):
    self.orders += 1
    self.order_times.append(time.monotonic())
    late_s = self.lateness(path, body) if self.lateness else None
    if late_s is None:
      return super().handle_command(path, expected, body)
    self.late_orders += 1
    self.late_times.append(time.monotonic())
    order = path.rsplit('-', maxsplit=1)[-1]
    self.log(f'leaves the order to {order} {body.get("task")}'
             f'#{body.get("attempt")} unanswered; to be carried out after '
             f'{late_s} s')
    threading.Timer(late_s, self.carry_out_late, (path, expected, body)).start()
    raise Unanswered()

  def carry_out_late(self, path, expected, body):
    if self.stopped or self.is_silent():
      return
    with self.lock:
      status, answer = super().handle_command(path, expected, body)
    order = path.rsplit('-', maxsplit=1)[-1]
    self.log(f'carries out late the order to {order} {body.get("task")}'
             f'#{body.get("attempt")}: {status} {answer}')

  def make_handler(self):
    worker = self
    base = super().make_handler()

    class Handler(base):

      def setup(self):
        super().setup()
        worker.open_sockets.add(self.connection)

      def finish(self):
        worker.open_sockets.discard(self.connection)
        try:
          super().finish()
        except OSError:
          pass

      def do_POST(self):  # pylint: disable=invalid-name
        try:
          super().do_POST()
        except Unanswered:
          # Without an answer, on a connection that stays open.
          time.sleep(3)
          self.close_connection = True
        except OSError:
          self.close_connection = True

      def handle(self):
        try:
          super().handle()
        except OSError:
          pass

    return Handler


class Unanswered(Exception):
  """The order gets no answer."""


class Deployment(standin.System):
  """Five control nodes, three entries and some workers."""

  def __init__(self, folder, journal, workers=8, controls=5, entries=3,
               kinds=None):
    super().__init__(str(PROGRAM), folder, standin.free_slot(),
                     controls=controls, entries=entries, workers=workers)
    self.journal = journal
    # The kinds of some workers, by number.
    self.kinds = kinds or {}
    self.record = Record(journal)
    self.more_settings = {
        'report_interval_ms': 1500, 'lease_ms': LEASE_MS,
        'keep_ended_ms': 120000, 'remote_factor': 3, 'memory_mb': 256,
        'max_open_files': 4096, 'stop_grace_ms': 6000}

  def settings(self, name, first_start):
    text = super().settings(name, first_start)
    # No forwarder stands between the nodes.
    return ''.join(line + '\n' for line in text.splitlines()
                   if not line.startswith('internal_listen'))

  def start(self, name, first_start=False):
    path = f'{self.folder}/{name}.yaml'
    with open(path, 'w', encoding='utf-8') as file:
      file.write(self.settings(name, first_start))
    environment = {'FLAMINGOHOLLOW_BOOT': path}
    with open(f'{self.folder}/{name}.log', 'ab') as log:
      self.processes[name] = subprocess.Popen(  # pylint: disable=R1732
          [self.program], env=environment, cwd=ROOT, stdout=log, stderr=log)
    self.journal.write(f'node     {name} starts')

  def kill(self, name):
    super().kill(name)
    self.journal.write(f'node     {name} is killed')

  def start_all(self):
    for name in self.nodes:
      self.start(name, first_start=True)
    for i in range(self.worker_count):
      worker = Worker(f'w{i}', self.address(3, i), f'r{i // 4}', self.controls,
                      self.record, self.kinds.get(i, 'a'))
      self.workers.append(worker)

  def wait_usable(self):
    """Waits until the leader knows all workers and would refuse what fits on
    none of them."""
    self.wait_ready()
    time.sleep(7)

  def close(self):
    for worker in self.workers:
      worker.stopped = True
      if not worker.is_silent():
        worker.server.shutdown()
        worker.server.server_close()
    for name, process in self.processes.items():
      self.signal(name, signal.SIGCONT)
      self.signal(name, signal.SIGKILL)
      process.wait()

  # Calls of clients.

  def ask(self, method, path, body=None, entry=0):
    status, text = self.client(method, path, body, entry)
    said = ' '.join(f'{value}' for value in json.loads(text or '{}').values())
    sent = f' {json.dumps(body["phases"])}' if body else ''
    self.journal.write(f'client   {method} {path or "(queue)"}{sent} at '
                       f'entry-{entry}: {status} {said}')
    return status, text

  def submit(self, number, body):
    for i in range(20):
      status, _ = self.ask('POST', key(number), body, i % len(self.entries))
      if status == 200:
        return
      time.sleep(0.2)
    raise CannotRun(f'job {number} was not accepted')

  def state(self, number, entry=0):
    status, text = self.ask('GET', key(number), None, entry)
    return json.loads(text)['state'] if status == 200 else None

  def wait_running(self, number, tasks, limit_s=10):
    """Waits until so many tasks of the job run on workers."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
      if self.count_running(number) >= tasks:
        return
      time.sleep(0.05)
    raise CannotRun(f'job {number} does not run with {tasks} tasks')

  def count_running(self, number):
    with self.record.lock:
      return sum(1 for task, on in self.record.running.items()
                 if on and task.startswith(key(number)))

  def has_started(self, number):
    return key(number) in self.record.jobs_started()


def write_share_of_late_orders(deployment):
  """Writes how many orders to workers were late, of all and of those that came
  in the 5.6 s that one entry of the site files may last."""
  late = sorted(t for w in deployment.workers for t in w.late_times)
  times = [t for w in deployment.workers for t in w.order_times]
  here = [t for t in times if late and late[0] <= t < late[0] + 5.6]
  deployment.journal.write(
      f'case     {len(late)} of {len(times)} orders to workers were late, over '
      f'{late[-1] - late[0] if late else 0:.1f} s; {len(here)} orders came in '
      'the 5.6 s from the first late one on')


def lasting_job(count, gpus):
  """Tasks that last: they run until the job is cancelled."""
  body = standin.job([count], ms=10**9, gpus=gpus)
  body['phases'][0]['estimated-ms'] = 1000
  body['phases'][0]['long-running'] = True
  return body


def main(case, folder, usable=True, **options):
  """Runs case(deployment), which returns whether the rule was broken. Unless
  `usable`, the case itself starts the processes."""
  signal.signal(signal.SIGTERM, stop_early)
  journal = Journal(pathlib.Path(folder) / 'record.txt')
  journal.write(f'case     trouble: {TROUBLE}')
  result = NOT_RUN
  with tempfile.TemporaryDirectory() as temporary:
    deployment = Deployment(temporary, journal, **options)
    try:
      if not PROGRAM.exists():
        raise CannotRun('the program is not built')
      if usable:
        deployment.start_all()
        deployment.wait_usable()
      result = BROKEN if case(deployment) else HELD
    except Exception as error:  # pylint: disable=broad-exception-caught
      journal.write(f'case     could not run: {error!r}')
      traceback.print_exc()
    finally:
      deployment.close()
      keep = os.environ.get('KEEP_LOGS')
      if keep:
        subprocess.run(['cp', '-r', temporary, keep], check=False)
  journal.write(f'case     result: {result}')
  print(f'result: {result}')
  sys.stdout.flush()
  os._exit(result)
