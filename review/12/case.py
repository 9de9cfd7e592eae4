"""A frozen control node wakes and tells of a leave that is long over."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 16
FREEZE_S = 7
# The worker says for how long it stays at least, and stays a little longer.
FIRST_STAY_S = 2.5
SECOND_STAY_S = 5
# When it is emptied again, after the freeze began.
AGAIN_S = 3
JOB = '00000000000000b1'
TASK_MS = 6300


class Leaver(small.ZonedWorker):
  """A worker that leaves and returns; its reports say how long it stays."""

  # When it leaves; None if it doesn't.
  leaves_at = None
  # It is about to end, or hasn't returned yet.
  is_ending = False

  def report(self):
    with self.lock:
      self.sequence += 1
      left_s = max(0.0, (self.leaves_at or 0) - time.monotonic())
      return {
          'service': small.standin.POOL,
          'address': f'{self.address}:{small.standin.WORKER_PORT}',
          'zone': 'z', 'version': 'v1', 'slots': 8, 'cold-left-ms': 0,
          'state': 'draining' if self.leaves_at else 'ready',
          'capacity': self.capacity, 'labels': [self.kind, self.rack],
          'server-time-ms': self.clock(), 'seq': self.sequence,
          'born': self.incarnation, 'remaining-ms': int(left_s * 1000)}

  def send_heartbeat(self):
    if not self.is_ending:
      small.standin.call(self.controls[0], small.standin.HTTP_PORT, 'PUT',
                         f'/instances/{self.name}', self.report(), timeout=1)

  def tell(self, system, controls, stay_s=0.0):
    """Reports its state; with `stay_s` that it leaves after that time."""
    self.leaves_at = time.monotonic() + stay_s if stay_s else None
    self.is_ending = False
    body = self.report()
    self.call(system, controls, 'PUT', body, body['state'])

  def leave(self, system, controls):
    self.is_ending = True
    self.call(system, controls, 'DELETE', None, 'leaves')

  def call(self, system, controls, method, body, what):
    """Calls one node after the other, each for a second."""
    for control in controls:
      status, _ = small.standin.call(
          system.nodes[control], small.standin.HTTP_PORT, method,
          f'/instances/{self.name}', body, timeout=1)
      system.notes.add(f'{self.name} ({what}) to {control}: {status}')
      if status == 200:
        return
    raise AssertionError('no node answers the worker')


def play(system):
  leader = system.leader()
  controls = [name for name in system.nodes if name.startswith('control')]
  follower = next(name for name in controls if name != leader)
  others = [name for name in controls if name != follower]
  for worker in system.workers:
    worker.controls = [system.nodes[name] for name in others]
  leaver = system.workers[0]
  leaver.__class__ = Leaver
  # It is replaced by a new process under its id.
  leaver.tell(system, others, FIRST_STAY_S)
  time.sleep(FIRST_STAY_S)
  if small.is_trouble():
    system.freeze(follower)
  frozen_at = time.monotonic()
  leaver.leave(system, [follower, *others])
  leaver.crash()
  time.sleep(0.2)
  # All others are in use, so that the job runs on it.
  for number in range(1, WORKERS):
    system.accept(f'{number:016x}', small.standin.job([1], ms=3500, gpus=8))
  leaver.tell(system, others)
  system.accept(JOB, small.standin.job([1], ms=TASK_MS, gpus=8))
  small.wait_for('the job runs', lambda: system.record.where(JOB)[0], 5)
  if system.record.where(JOB)[0] != leaver.name:
    raise AssertionError('the job runs on another worker')
  time.sleep(max(0.0, frozen_at + AGAIN_S - time.monotonic()))
  # It is emptied; the task has time enough to end there.
  leaver.tell(system, others, SECOND_STAY_S)
  time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
  if small.is_trouble():
    system.thaw(follower)
  time.sleep(4)
  for violation in system.record.violations:
    system.notes.add(f'TWICE: {violation}')
  return small.BROKEN if system.record.violations else small.HELD


small.run(__file__, play, controls=3, entries=2, workers=WORKERS)
