"""Large jobs wait for the only worker of their kind, and all others wait too."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 8
RARE = 'b'
# The largest burst of the site: 4.19 jobs a second of 78 tasks, 2.6 times, for
# 4 s.
LARGE_JOBS = 40
TASKS = 64
BURST_S = 4
TASK_MS = 6100
SMALL = '00000000000000e1'
# The end of the traffic is when the small job has been handed in.
FINISH_S = 14
IDLE_S = 3
PLACE = '/batch/'


def catalog():
  """A second queue for work that is less urgent."""
  content = small.standin.catalog(2)
  usual = content['routes'][0]
  prefix = next(name for name, value in usual.items()
                if value == small.standin.PREFIX)
  content['routes'].append({**usual, 'name': 'batch', prefix: PLACE,
                            'priority': 2})
  return content


def play(system):
  system.configure(catalog())
  time.sleep(2)
  if small.is_trouble():
    for number in range(1, LARGE_JOBS + 1):
      body = small.standin.job([TASKS], ms=TASK_MS)
      body['phases'][0]['requires'] = RARE
      system.accept(f'{number:016x}', body)
      time.sleep(BURST_S / LARGE_JOBS)
  time.sleep(1)
  small.standin.PREFIX = PLACE
  system.accept(SMALL, small.standin.job([1], ms=500))
  time.sleep(FINISH_S + IDLE_S)
  state = system.state(SMALL)
  started = SMALL in system.record.jobs_started()
  busy = {worker for on in system.record.running.values() for worker in on}
  system.notes.add(f'{SMALL} is {state}; busy workers: {sorted(busy)}')
  if not started and len(busy) * 2 < WORKERS:
    system.notes.add('LOST: nothing of the job has run, and most workers are '
                     'idle')
    return small.BROKEN
  return small.HELD


def run():
  make = small.SmallSystem.start_all

  def start_all(system):
    system.kinds = {WORKERS - 1: RARE}
    make(system)

  small.SmallSystem.start_all = start_all
  small.run(__file__, play, controls=3, entries=2, workers=WORKERS)


run()
