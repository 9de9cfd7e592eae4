"""A job whose tasks last, on workers of which one crashes three times."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib_2'))

import harness  # pylint: disable=wrong-import-position,import-error

JOB = 1
CRASHES = 3
# How long a crashed worker is down, and runs between its crashes.
DOWN_S = 4.5
UP_S = 9


def watch(deployment, seconds):
  """Returns whether the job is shown as ended within the time."""
  end = time.monotonic() + seconds
  entry = 0
  while time.monotonic() < end:
    entry = (entry + 1) % len(deployment.entries)
    state = deployment.state(JOB, entry)
    if state in ('failed', 'cancelled', 'completed'):
      failed = [e for e in deployment.record.ends if e[4] == 'failed']
      deployment.journal.write(
          f'case     BROKEN: the job is shown as {state}; nobody cancelled it, '
          f'and {len(failed)} runs have ended failed')
      return True
    time.sleep(0.5)
  return False


def case(deployment):
  # One task on each worker.
  deployment.submit(JOB, harness.lasting_job(8, 8))
  deployment.wait_running(JOB, 8)
  worker = deployment.workers[3]
  for _ in range(CRASHES):
    if watch(deployment, UP_S):
      return True
    if harness.TROUBLE:
      worker.crash()
    if watch(deployment, DOWN_S):
      return True
    if harness.TROUBLE:
      worker.come_back()
  broken = watch(deployment, 30)
  deployment.journal.write(
      f'case     tasks at work at the end: {deployment.count_running(JOB)}')
  return broken


if __name__ == '__main__':
  harness.main(case, HERE, workers=8)
