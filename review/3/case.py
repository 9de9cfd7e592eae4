"""A machine crashes three times under a job that lasts."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib'))

import deployment  # pylint: disable=wrong-import-position

WORKERS = 8
CRASHES = 3
# How long a crashed worker is down, and how long it then works undisturbed.
DOWN_S = 4.5
CALM_S = 6
LIMIT_S = 25
LASTING_MS = 10_000_000


def lasting_job():
  """Returns a job of one task for each worker, which last until cancelled."""
  job = deployment.standin.job([WORKERS], ms=LASTING_MS)
  job['phases'][0] |= {'long-running': True, 'anti-affinity': 1,
                       'estimated-ms': 5000}
  return job


def wait_running(system, key, worker):
  """Waits until the worker runs a task of the job, or the job has ended."""
  end = time.monotonic() + LIMIT_S
  while time.monotonic() < end:
    with worker.lock:
      if any(task.startswith(key) for task, _ in worker.runs):
        return True
    if system.state(key) not in ('pending', 'running'):
      return False
    time.sleep(0.5)
  return False


def play_case(system):
  key = deployment.new_key()
  if system.ask('POST', key, lasting_job())[0] != 200:
    raise AssertionError('the job was not accepted')
  for worker in system.workers:
    if not wait_running(system, key, worker):
      raise AssertionError('the job did not start on each worker')
  for _ in range(CRASHES):
    worker = system.workers[0]
    if not wait_running(system, key, worker):
      break
    time.sleep(CALM_S)
    if deployment.with_trouble():
      system.notes.add(f'{worker.name} crashes, and is down for {DOWN_S} s')
      worker.go_down(DOWN_S)
    else:
      time.sleep(DOWN_S)
  end = time.monotonic() + LIMIT_S
  while time.monotonic() < end:
    state = system.state(key)
    if state not in ('pending', 'running'):
      return (f'the job is shown as {state}; none of its tasks has ended as '
              'failed, and nobody has cancelled it')
    time.sleep(1)
  return ''


if __name__ == '__main__':
  sys.exit(deployment.play(FOLDER, play_case, WORKERS))
