"""One worker crashes three times under a sound task that lasts."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 8
CRASHES = 3
# How long the worker is down, and how long it is up before it crashes again.
DOWN_S = 2
UP_S = 6
# The state is asked for so long after the last crash.
WATCH_S = 15


def play(system):
  jobs = [f'{number:016x}' for number in range(1, WORKERS + 1)]
  for job in jobs:
    system.accept(job, small.standin.lasting_job(1, gpus=8))
  for job in jobs:
    small.wait_for(f'{job} runs', lambda job=job: system.record.where(job)[0],
                   10)
  victim = jobs[-1]
  name, _ = system.record.where(victim)
  worker = next(w for w in system.workers if w.name == name)
  for _ in range(CRASHES):
    time.sleep(UP_S)
    if system.state(victim) == 'failed':
      break
    small.wait_for('the task runs', lambda: system.record.where(victim)[0], 20)
    if system.record.where(victim)[0] != name:
      raise AssertionError('the task runs on another worker')
    if small.is_trouble():
      system.notes.add(f'worker {name} crashes, down for {DOWN_S} s')
      worker.down_until = time.monotonic() + DOWN_S
      worker.crash()
    time.sleep(DOWN_S)
  end = time.monotonic() + WATCH_S
  while time.monotonic() < end:
    state = system.state(victim)
    failed = any(task.split('.')[0] == victim and how == 'failed'
                 for task, how in system.record.ends)
    if state in ('failed', 'cancelled') and not failed:
      system.notes.add(f'LOST: the job is shown as {state} without cause')
      return small.BROKEN
    time.sleep(1)
  return small.HELD


small.run(__file__, play, controls=3, entries=2, workers=WORKERS)
