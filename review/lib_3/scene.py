"""A small deployment for the cases of review 2, and what its workers ran.

Control nodes and entries are the programs of the deploy file, started with its
command and with settings like those that its template yields. Workers, clients
and the operator are the stand-ins of platform/testing. Events keeps what was
sent, answered and run; a case checks it after the play.
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, 'platform', 'testing'))
import standin  # pylint: disable=wrong-import-position

# Of a small deployment's settings; see the users' page on settings.
standin.HEARTBEAT_S = 1.5
standin.LEASE_MS = 10000
standin.STOP_S = 0.4
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# At most so many ends are in one list.
MAX_ENDS = 500
PROGRAM = os.path.join(ROOT, 'target', 'flamingohollow_platform')


class Events:
  """What happened, in order, with the time since the start in seconds."""

  def __init__(self):
    self.lock = threading.Lock()
    self.began = time.monotonic()
    self.rows = []

  def add(self, kind, **fields):
    with self.lock:
      self.rows.append({'at': round(time.monotonic() - self.began, 3),
                        'kind': kind, **fields})

  def of(self, kind):
    with self.lock:
      return [row for row in self.rows if row['kind'] == kind]

  def write(self, path, verdict):
    with self.lock, open(path, 'w', encoding='utf-8') as out:
      for row in self.rows:
        out.write(json.dumps(row) + '\n')
      out.write(f'verdict: {verdict}\n')


class Worker(standin.Worker):
  """A worker that lists at most MAX_ENDS ends at a time, as the pages say."""

  def __init__(self, name, address, rack, controls, events, **options):
    self.events = events
    self.lapsed_at = -1
    self.labels = options.get('labels', ['a'])  # The kind; the rack follows.
    self.size = options.get('size')
    super().__init__(name, address, rack, controls, standin.Record())
    if self.size is not None:
      self.capacity = self.size

  def shorten(self, body):
    longest = self.clock() + standin.LEASE_MS
    return {**body, 'deadline-ms': min(body.get('deadline-ms', 0), longest)}

  def start(self, body):
    before = set(self.runs)
    self.note_lapse()
    # An order whose own time is over is late, also if others extended the lease.
    if body['deadline-ms'] <= self.clock():
      status, answer = 409, {'reason': 'late'}
    else:
      status, answer = super().start(self.shorten(body))
    self.events.add('ordered', worker=self.name, task=body['task'],
                    run=body['attempt'], status=status,
                    reason=answer.get('reason', ''))
    if set(self.runs) - before:
      self.events.add('began', worker=self.name, task=body['task'],
                      run=body['attempt'], life=self.incarnation)
    return status, answer

  def make_handler(self):
    handler = super().make_handler()
    handler.disable_nagle_algorithm = True
    return handler

  def send_heartbeat(self):
    with self.lock:
      self.sequence += 1
      body = {
          'service': standin.POOL,
          'address': f'{self.address}:{standin.WORKER_PORT}', 'zone': 'z',
          'version': 'v1', 'slots': 8, 'cold-left-ms': 0,
          'state': 'draining' if self.draining else 'ready',
          'capacity': self.capacity, 'labels': self.labels + [self.rack],
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

  def finish(self, key, how):
    if key in self.runs:
      self.events.add('ended', worker=self.name, task=key[0], run=key[1],
                      how=how, number=self.last_end + 1, life=self.incarnation)
    super().finish(key, how)

  def crash(self):
    with self.lock:
      for task, run in self.runs:
        self.events.add('ended', worker=self.name, task=task, run=run,
                        how='crashed', number=0, life=self.incarnation)
      super().crash()
      self.lapsed_at = -1

  def note_lapse(self):
    if self.lease <= self.clock():
      self.lapsed_at = self.clock()

  def answer_poll(self, body):
    self.note_lapse()
    before = {end[0]: end[5] for end in self.ends}
    status, answer = super().answer_poll(self.shorten(body))
    left = {end[0] for end in self.ends}
    # Not those before a time at which the lease had lapsed.
    noted = [number for number, at in before.items()
             if number not in left and at > self.lapsed_at]
    if noted:
      self.events.add('noted', worker=self.name, life=self.incarnation,
                      first=noted[0], last=noted[-1])
    answer['finished'] = answer['finished'][:MAX_ENDS]
    return status, answer


class Scene(standin.System):
  """Five control nodes, four entries and some workers."""

  def __init__(self, events, **options):
    # Closed by close().
    self.temporary = tempfile.TemporaryDirectory()  # pylint: disable=R1732
    super().__init__(PROGRAM, self.temporary.name, standin.free_slot(),
                     controls=options.get('controls', 5),
                     entries=options.get('entries', 4), workers=0)
    self.events = events

  def settings(self, name, first_start):
    control = name.startswith('control')
    address = self.nodes[name]
    seeds = [f'{seed}:{standin.HTTP_PORT}' for seed in self.controls[:3]]
    lines = {
        'role': 'control' if control else 'entry', 'name': name,
        'address': address, 'failure_domain': 'z',
        'internal_port': standin.INTERNAL_PORT, 'seeds': json.dumps(seeds),
        'http': f'"{address}:{standin.HTTP_PORT}"',
        'metrics': f'"{address}:{standin.METRICS_PORT}"',
        'first_start': 'true' if first_start else 'false',
        'tolerated_losses': (len(self.controls) - 1) // 2,
        'report_interval_ms': 1500, 'lease_ms': 10000, 'stop_grace_ms': 6000,
        'keep_ended_ms': 120000, 'remote_factor': 3, 'memory_mb': 256,
        'max_open_files': 4096}
    if control:
      lines['data_folder'] = f'"{self.folder}/{name}"'
    else:
      lines['readiness'] = f'"{address}:{standin.HTTP_PORT + 1}"'
    lines.update(self.more_settings)
    return ''.join(f'{key}: {value}\n' for key, value in lines.items())

  def start(self, name, first_start=False):
    path = f'{self.folder}/{name}.yaml'
    with open(path, 'w', encoding='utf-8') as file:
      file.write(self.settings(name, first_start))
    with open(f'{self.folder}/{name}.log', 'ab') as log:
      self.processes[name] = subprocess.Popen(  # pylint: disable=R1732
          [self.program], stdout=log, stderr=log, cwd=ROOT,
          env={'PATH': os.environ.get('PATH', ''),
               'FLAMINGOHOLLOW_BOOT': path})
    self.events.add('process', node=name, what='started')

  def add_worker(self, index, worker=Worker, **options):
    made = worker(f'w{index}', self.address(3, index), f'r{index // 2}',
                  self.controls, self.events, **options)
    self.workers.append(made)
    return made

  # Further queues: {prefix: priority}; further tenants: {name: key}.
  queues = {}
  tenants = {}

  def put_catalog(self, version, control=None):
    document = standin.catalog(version)
    routes = document['routes']
    field = next(name for name, value in routes[0].items()
                 if value == standin.PREFIX)
    for prefix, priority in self.queues.items():
      routes.append({**routes[0], 'name': f'r{len(routes)}', field: prefix,
                     'priority': priority})
    for name, key in self.tenants.items():
      document['tenants'].append({**document['tenants'][0], 'name': name,
                                  'api-keys': [key]})
    status, _ = standin.call(control or self.controls[0], standin.HTTP_PORT,
                             'PUT', '/config', document, timeout=2)
    self.events.add('configured', version=version, status=status)
    return status

  def ask(self, method, path, body=None, entry=0, prefix=standin.PREFIX,
          key=standin.KEY):
    headers = {'Host': standin.HOST, 'Api-Key': key, 'X-Deadline-Ms': '3000',
               'Content-Type': 'application/json'}
    address = self.entries[entry % len(self.entries)]
    status, text = standin.call(address, standin.HTTP_PORT, method,
                                prefix + path, body, headers, 4)
    self.events.add('asked', method=method, path=prefix + path, key=key,
                    entry=entry, status=status, answer=text[:200])
    return status, text

  def state_of(self, key, entry=0):
    status, text = self.ask('GET', key, entry=entry)
    return json.loads(text)['state'] if status == 200 else str(status)

  def await_state(self, key, wanted, limit_s):
    """Returns the last state, which is `wanted` if that came in time."""
    end = time.monotonic() + limit_s
    state = ''
    while time.monotonic() < end:
      state = self.state_of(key)
      if state in wanted:
        break
      time.sleep(0.2)
    return state

  def close(self):
    super().close()
    for name in self.nodes:
      path = f'{self.folder}/{name}.log'
      if os.environ.get('KEEP_LOGS') and os.path.exists(path):
        os.makedirs(os.environ['KEEP_LOGS'], exist_ok=True)
        with open(path, 'rb') as log, \
            open(f'{os.environ["KEEP_LOGS"]}/{name}.log', 'wb') as copy:
          copy.write(log.read())
    self.temporary.cleanup()


def find_repeated(events):
  """Returns starts of a task after a run of it has ended as done, if that end
  was taken note of then or later, and starts beside another run of the task."""
  noted = {}
  for row in events.of('noted'):
    noted.setdefault((row['worker'], row['life']), set()).update(
        range(row['first'], row['last'] + 1))
  done, running, broken = {}, {}, []
  with events.lock:
    rows = list(events.rows)
  for row in rows:
    if row['kind'] == 'began':
      if row['task'] in done:
        broken.append({**row, 'rule': 'start after done',
                       'done': done[row['task']]})
      if running.get(row['task']):
        broken.append({**row, 'rule': 'two at once',
                       'other': list(running[row['task']])})
      running.setdefault(row['task'], []).append((row['worker'], row['run']))
    elif row['kind'] == 'ended':
      running[row['task']].remove((row['worker'], row['run']))
      seen = noted.get((row['worker'], row['life']), ())
      if row['how'] == 'done' and row['number'] in seen:
        done[row['task']] = row
  return broken


def play(folder, body):
  """Runs `body(scene, events, trouble)`, which returns a list of violations."""
  events = Events()
  trouble = os.environ.get('TROUBLE', '1') != '0'
  record = os.path.join(folder, 'record.txt')
  if not os.access(PROGRAM, os.X_OK):
    print(f'{PROGRAM} is missing')
    return CANNOT_RUN
  scene = Scene(events)
  try:
    broken = body(scene, events, trouble)
    code = BROKEN if broken else HELD
    verdict = f'{len(broken)} violations, first: {broken[:3]}'
  except Exception as error:  # pylint: disable=broad-except
    code, verdict = CANNOT_RUN, f'could not run: {error!r}'
  finally:
    scene.close()
  events.write(record, verdict)
  print(verdict[:600])
  return code
