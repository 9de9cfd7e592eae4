"""A small deployment for the scripts of this review.

Starts the project's own program with the command of the deploy file, in the
repository's root, on loopback addresses. Workers, clients and the operator are
the project's stand-ins in platform/testing, with the settings of a small
deployment instead of those of its tests.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
sys.path.insert(0, os.path.join(ROOT, 'platform', 'testing'))

import standin  # pylint: disable=wrong-import-position

standin.HEARTBEAT_S = 1.5
standin.LEASE_MS = 10000
standin.STOP_S = 0.2

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def with_trouble():
  return os.environ.get('TROUBLE', '1') != '0'


def command(role):
  """Returns the words of the deploy file's command for the role."""
  with open(os.path.join(ROOT, 'deploy', 'system.toml'), 'rb') as file:
    return tomllib.load(file)['roles'][role]['run'].split()


class Notes:
  """Writes record.txt: what was sent, answered and run, with times."""

  def __init__(self, folder):
    self.began = time.monotonic()
    self.lock = threading.Lock()
    path = os.path.join(folder, 'record.txt')
    self.file = open(path, 'w', encoding='utf-8')  # pylint: disable=R1732

  def add(self, text):
    with self.lock:
      self.file.write(f'{time.monotonic() - self.began:8.3f} s  {text}\n')
      self.file.flush()

  def close(self):
    self.file.close()


class Record(standin.Record):
  """Also writes starts and ends of tasks to the notes."""

  def __init__(self, notes):
    super().__init__()
    self.notes = notes

  def start(self, task, attempt, worker):
    super().start(task, attempt, worker)
    self.notes.add(f'{worker} starts {task} attempt {attempt}')

  def end(self, task, worker):
    with self.lock:
      attempt = self.running.get(task, {}).pop(worker, None)
    if attempt is not None:
      self.notes.add(f'{worker} no longer runs {task} attempt {attempt}')


class Worker(standin.Worker):
  """Reports a task that lasts as wholly at work, and can be down for a while.

  When it is back, it is a new process under the same id: it runs nothing, has
  seen no token, and its counts and its clock start anew.
  """

  def __init__(self, *args):
    super().__init__(*args)
    # A caller that was killed leaves connections that are reset.
    self.server.handle_error = lambda *_: None

  def percent(self, run):
    lasts = run['ms'] > 1_000_000
    return 100 if lasts else super().percent(run)

  def go_down(self, seconds):
    with self.lock:
      self.down_until = time.monotonic() + seconds
    self.crash()
    time.sleep(seconds)
    with self.lock:
      self.reset()
    self.record.notes.add(f'{self.name} is back as a new process')


class Deployment(standin.System):
  """Five control nodes and two entries as processes, and workers."""

  worker_class = Worker

  def __init__(self, folder, notes, workers):
    super().__init__(None, folder, standin.free_slot(), controls=5, entries=2,
                     workers=workers)
    self.notes = notes
    self.record = Record(notes)
    self.next_control = len(self.controls)
    # Control nodes that are named to processes as they start.
    self.seeds = self.controls[:3]

  def settings(self, name, first_start):
    control = name.startswith('control')
    address = self.nodes[name]
    seeds = [f'{seed}:{standin.HTTP_PORT}' for seed in self.seeds]
    lines = {
        'role': 'control' if control else 'entry', 'name': name,
        'address': address, 'failure_domain': 'z',
        'internal_port': standin.INTERNAL_PORT, 'seeds': json.dumps(seeds),
        'http': f'"{address}:{standin.HTTP_PORT}"',
        'metrics': f'"{address}:{standin.METRICS_PORT}"',
        'first_start': 'true' if first_start else 'false',
        'tolerated_losses': 2, 'report_interval_ms': 1500, 'lease_ms': 10000,
        'stop_grace_ms': 6000, 'keep_ended_ms': 120000, 'remote_factor': 3,
        'memory_mb': 256 if control else 260, 'max_open_files': 4096}
    if control:
      lines['data_folder'] = f'"{self.folder}/{name}"'
      if self.listens_elsewhere():
        lines['internal_listen'] = f'"{address}:{standin.INTERNAL_LISTEN_PORT}"'
    else:
      lines['readiness'] = f'"{address}:{standin.HTTP_PORT + 1}"'
    return ''.join(f'{key}: {value}\n' for key, value in lines.items())

  def listens_elsewhere(self):
    """Whether a proxy stands at the control nodes' internal ports."""
    return False

  def start(self, name, first_start=False):
    path = f'{self.folder}/{name}.yaml'
    with open(path, 'w', encoding='utf-8') as file:
      file.write(self.settings(name, first_start))
    role = name.split('-', maxsplit=1)[0]
    environment = {'FLAMINGOHOLLOW_BOOT': path}
    for variable in ('PATH', 'HOME', 'LANG'):
      if variable in os.environ:
        environment[variable] = os.environ[variable]
    with open(f'{self.folder}/{name}.log', 'ab') as log:
      self.processes[name] = subprocess.Popen(  # pylint: disable=R1732
          command(role), cwd=ROOT, env=environment, stdout=log, stderr=log)

  def start_all(self):
    for name in self.nodes:
      self.start(name, first_start=True)
    for i in range(self.worker_count):
      self.workers.append(self.worker_class(
          f'w{i}', self.address(3, i), f'r{i // 4}', self.controls,
          self.record))

  def wait_workers(self, limit_s=30):
    """Waits until a task has run on each worker."""
    key = new_key()
    phases = standin.job([self.worker_count], ms=200)
    phases['phases'][0]['anti-affinity'] = 1
    end = time.monotonic() + limit_s
    while self.client('POST', key, phases)[0] != 200:
      if time.monotonic() > end:
        raise AssertionError('no job is accepted')
      time.sleep(0.2)
    self.wait_state(key, 'completed', limit_s)

  def ask(self, method, path, body=None, **more):
    """Sends a client's request, and notes it with its answer."""
    status, text = self.client(method, path, body, **more)
    self.notes.add(f'client {method} {path or "(queue)"} -> {status} {text}')
    return status, text

  def state(self, key):
    status, text = self.ask('GET', key)
    return json.loads(text)['state'] if status == 200 else str(status)

  def replace_control(self, name, after_s):
    """Takes a control node away for good. After a while an empty one starts at
    another address."""
    self.notes.add(f'{name} is gone for good')
    self.kill(name)
    shutil.rmtree(f'{self.folder}/{name}')
    self.controls.remove(self.nodes.pop(name))
    time.sleep(after_s)
    number = self.next_control
    self.next_control += 1
    new = f'control-{number}'
    self.nodes[new] = self.address(1, number)
    self.controls.append(self.nodes[new])
    self.seeds = self.controls[:3]
    self.start(new)
    self.notes.add(f'{new}, an empty one, starts at {self.nodes[new]}')

  def wipe_control(self, name, away_s):
    """Ends a control node, which comes back with an empty disk."""
    self.notes.add(f'{name} loses its disk')
    self.kill(name)
    shutil.rmtree(f'{self.folder}/{name}')
    time.sleep(away_s)
    self.start(name)
    self.notes.add(f'{name} is back with an empty disk')

  def serves(self, key):
    """Asks for a job and for the configuration, at several nodes. Whether both
    are answered."""
    status, _ = self.ask('GET', key)
    versions = []
    for address in self.controls:
      answer, _ = standin.call(address, standin.HTTP_PORT, 'GET', '/config',
                               timeout=1)
      versions.append(answer)
    self.notes.add(f'operator reads the configuration at each node: {versions}')
    return status == 200 and 200 in versions

  def find_leader(self):
    """Returns the control node with the latest leader event in its log."""
    newest = ('', '')
    for name in self.nodes:
      with open(f'{self.folder}/{name}.log', encoding='utf-8') as log:
        for line in log:
          if ' event=leader ' in line:
            newest = max(newest, (line.split()[0], name))
    return newest[1]


def new_key():
  return f'{random.getrandbits(64):016x}'


def play(folder, play_case, workers, deployment_class=Deployment):
  """Starts a deployment and plays the case on it. Returns the exit code.

  `play_case` gets the deployment, and returns how the rule was broken, or an
  empty text if it held.
  """
  # A script that is told to end still ends what it started.
  signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
  notes = Notes(folder)
  try:
    with tempfile.TemporaryDirectory() as data:
      system = deployment_class(data, notes, workers)
      try:
        system.start_all()
        system.wait_ready()
        system.wait_workers()
        notes.add(f'the system is ready; trouble: {with_trouble()}')
        why = play_case(system)
      finally:
        system.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
          subprocess.run(['cp', '-r', data, keep], check=False)
  except Exception as error:  # pylint: disable=broad-except
    notes.add(f'the case could not run: {error!r}')
    notes.close()
    return COULD_NOT_RUN
  notes.add(f'BROKEN: {why}' if why else 'the rule held')
  notes.close()
  return BROKEN if why else HELD
