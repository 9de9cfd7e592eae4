"""A heartbeat of another writer arrives while tasks run."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib'))

import deployment  # pylint: disable=wrong-import-position

standin = deployment.standin

WORKERS = 8
TASKS = 12
TASK_MS = 12_000
LIMIT_S = 40


def foreign_heartbeat(worker):
  """Returns a heartbeat at the worker's address whose service is not named in
  the configuration. All its fields are there and have the right types."""
  return {
      'service': 'another-service',
      'address': f'{worker.address}:{standin.WORKER_PORT}', 'zone': 'z',
      'version': 'v1', 'slots': 8, 'state': 'ready', 'cold-left-ms': 0,
      'capacity': {'cpu': 1000, 'mem-mb': 1000, 'gpus': 0},
      'labels': ['z', 'r9'], 'server-time-ms': 1, 'seq': 1,
      'born': int(time.time() * 1000)}


def play_case(system):
  key = deployment.new_key()
  body = standin.job([TASKS], ms=TASK_MS)
  if system.ask('POST', key, body)[0] != 200:
    raise AssertionError('the job was not accepted')
  time.sleep(3)
  busy = [worker for worker in system.workers if worker.runs]
  if not busy:
    raise AssertionError('no task has started')
  if deployment.with_trouble():
    worker = busy[0]
    body = foreign_heartbeat(worker)
    status, text = standin.call(system.controls[0], standin.HTTP_PORT, 'PUT',
                                '/instances/other-1', body, timeout=1)
    system.notes.add(f'another writer sends a heartbeat of a service that is '
                     f'not in the configuration, at the address of '
                     f'{worker.name}: {body} -> {status} {text}')
  end = time.monotonic() + LIMIT_S
  while time.monotonic() < end and system.state(key) != 'completed':
    time.sleep(1)
  violations = system.record.violations
  return '; '.join(violations)


if __name__ == '__main__':
  sys.exit(deployment.play(FOLDER, play_case, WORKERS))
