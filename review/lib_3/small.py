"""A small deployment for the cases of the third review.

Runs the program that the deploy file builds, with the settings that its
template makes: each process gets the path of its settings file in a variable.
Workers, clients and the operator are the project's own stand-ins. All addresses
are loopback addresses.
"""

import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'platform' / 'testing'))

import standin  # pylint: disable=wrong-import-position

PROGRAM = 'target/flamingohollow_platform'
VARIABLE = 'FLAMINGOHOLLOW_BOOT'
REPORT_MS = 1500
LEASE_MS = 10000
# A case ends within 120 s.
LIMIT_S = 110
BROKEN, HELD, CANNOT_RUN = 1, 0, 2


def is_trouble():
  return os.environ.get('TROUBLE', '1') != '0'


class Notes:
  """What was sent, answered and run, in `record.txt`."""

  def __init__(self, folder):
    path = pathlib.Path(folder) / 'record.txt'
    self.file = open(path, 'w', encoding='utf-8')  # pylint: disable=R1732
    self.began = time.monotonic()
    self.lock = threading.Lock()

  def add(self, text):
    with self.lock:
      self.file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
      self.file.flush()


class NotingRecord(standin.Record):
  """Notes each start and end, and keeps how the runs of each task ended."""

  def __init__(self, notes):
    super().__init__()
    self.notes = notes
    self.ends = []

  def start(self, task, attempt, worker):
    self.notes.add(f'worker {worker} starts {task}#{attempt}')
    super().start(task, attempt, worker)

  def end(self, task, worker, how=''):
    self.notes.add(f'worker {worker} ends {task}: {how or "lost with it"}')
    self.ends.append((task, how))
    super().end(task, worker, how)

  def where(self, job):
    """Returns the worker that runs a task of the job, and since when."""
    with self.lock:
      for task, on in self.running.items():
        if on and task.split('.')[0] == job:
          return next(iter(on)), self.started[task][-1][2]
    return None, 0


class ZonedWorker(standin.Worker):
  """A worker whose reports name its own zone and service."""

  zones = {}
  services = {}

  def __init__(self, *parts, **more):
    super().__init__(*parts, **more)
    # The other side may close its connections at any time.
    self.server.handle_error = lambda *_: None

  def send_heartbeat(self):
    with self.lock:
      self.sequence += 1
      body = {
          'service': self.services.get(self.name, standin.POOL),
          'address': f'{self.address}:{standin.WORKER_PORT}',
          'zone': self.zones.get(self.name, 'z'), 'version': 'v1', 'slots': 8,
          'cold-left-ms': 0, 'state': 'draining' if self.draining else 'ready',
          'capacity': self.capacity, 'labels': [self.kind, self.rack],
          'server-time-ms': self.clock(), 'seq': self.sequence,
          'born': self.incarnation,
          'remaining-ms': 2000 if self.draining else 0}
    for _ in self.controls:
      control = self.controls[self.next_control % len(self.controls)]
      status, _ = standin.call(control, standin.HTTP_PORT, 'PUT',
                               f'/instances/{self.name}', body, timeout=1)
      if status == 200:
        return
      self.next_control += 1


class SmallSystem(standin.System):
  """Processes of a small deployment, by the commands of the deploy file."""

  def __init__(self, folder, notes, **sizes):
    super().__init__(PROGRAM, folder, standin.free_slot(), **sizes)
    self.notes = notes
    self.record = NotingRecord(notes)
    standin.Worker = ZonedWorker

  def freeze(self, name):
    self.notes.add(f'{name} freezes')
    self.signal(name, signal.SIGSTOP)

  def thaw(self, name):
    self.signal(name, signal.SIGCONT)
    self.notes.add(f'{name} wakes')

  def leader(self):
    """Returns the control node that leads, as far as the logs say."""
    newest = ('', '')
    for name in self.nodes:
      with open(f'{self.folder}/{name}.log', encoding='utf-8') as log:
        for line in log:
          if ' event=leader ' in line:
            newest = max(newest, (line.split()[0], name))
    return newest[1]

  def order(self, method, path, control):
    """The operator's order to one control node, for which it waits a second."""
    status, _ = standin.call(self.nodes[control], standin.HTTP_PORT, method,
                             path, timeout=1)
    self.notes.add(f'operator {method} {path} to {control}: {status}')
    return status

  def settings(self, name, first_start):
    control = name.startswith('control')
    address = self.nodes[name]
    port = standin.HTTP_PORT
    lines = {
        'role': 'control' if control else 'entry', 'name': name,
        'address': address, 'failure_domain': 'z',
        'internal_port': standin.INTERNAL_PORT,
        'seeds': json.dumps([f'{seed}:{port}' for seed in self.controls[:3]]),
        'http': f'"{address}:{port}"',
        'metrics': f'"{address}:{standin.METRICS_PORT}"',
        'first_start': 'true' if first_start else 'false',
        'tolerated_losses': (len(self.controls) - 1) // 2,
        'report_interval_ms': REPORT_MS, 'lease_ms': LEASE_MS,
        'stop_grace_ms': 6000, 'keep_ended_ms': 120000, 'remote_factor': 3,
        'memory_mb': 256, 'max_open_files': 4096}
    if control:
      lines['data_folder'] = f'"{self.folder}/{name}"'
    else:
      lines['readiness'] = f'"{address}:{port + 1}"'
    lines.update(self.more_settings)
    return ''.join(f'{key}: {value}\n' for key, value in lines.items())

  def start(self, name, first_start=False):
    path = f'{self.folder}/{name}.yaml'
    with open(path, 'w', encoding='utf-8') as file:
      file.write(self.settings(name, first_start))
    with open(f'{self.folder}/{name}.log', 'ab') as log:
      self.processes[name] = standin.subprocess.Popen(
          [self.program], stdout=log, stderr=log, cwd=ROOT,
          env={**os.environ, VARIABLE: path})

  def send(self, method, path, body=None, **how):
    status, answer = self.client(method, path, body, **how)
    self.notes.add(f'client {method} {path}: {status} {answer[:80]}')
    return status, answer

  def accept(self, job, body, limit_s=15, **how):
    """Hands a job in until it is accepted."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
      if self.send('POST', job, body, **how)[0] == 200:
        return
      time.sleep(0.2)
    raise AssertionError(f'job {job} is not accepted')

  def configure(self, catalog):
    """Sends a configuration until it is acknowledged."""
    control = 0
    while True:
      address = self.controls[control % len(self.controls)]
      status, _ = standin.call(address, standin.HTTP_PORT, 'PUT', '/config',
                               catalog, timeout=1)
      self.notes.add(f'operator PUT /config version {catalog["version"]} to '
                     f'{address}: {status}')
      if status == 200:
        return
      control += 1

  def state(self, job, **how):
    status, answer = self.send('GET', job, **how)
    return json.loads(answer)['state'] if status == 200 else str(status)


def wait_for(what, check, limit_s):
  end = time.monotonic() + limit_s
  while time.monotonic() < end:
    found = check()
    if found:
      return found
    time.sleep(0.05)
  raise AssertionError(f'waited in vain: {what}')


def time_is_over(*_):
  raise AssertionError(f'not done after {LIMIT_S} s')


def run(case_file, play, settings=None, **sizes):
  """Runs `play(system)`, which returns BROKEN or HELD, and exits with that."""
  case = pathlib.Path(case_file).resolve().parent
  notes = Notes(case)
  folder = tempfile.mkdtemp()
  system = None
  code = CANNOT_RUN
  try:
    signal.signal(signal.SIGALRM, time_is_over)
    signal.alarm(LIMIT_S)
    standin.HEARTBEAT_S = REPORT_MS / 1000
    system = SmallSystem(folder, notes, **sizes)
    system.more_settings = settings or {}
    system.start_all()
    system.wait_ready()
    code = play(system)
  except Exception as error:  # pylint: disable=broad-except
    notes.add(f'the case could not run: {error!r}')
    print(f'the case could not run: {error!r}', file=sys.stderr)
  finally:
    if system:
      system.close()
    keep = os.environ.get('KEEP_LOGS')
    if keep:
      shutil.copytree(folder, keep, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
  notes.add(f'exit {code}')
  sys.stdout.flush()
  os._exit(code)
