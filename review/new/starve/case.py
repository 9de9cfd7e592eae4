"""Many large jobs wait for one kind of worker; jobs for the others wait too."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position

SMALL = '00000000000000c2'
LATER = '/later/'
# The rate and the mean width of a class of the large deployment.
JOBS, JOBS_PER_S, TASKS = 32, 4, 78
WORK_MS = 10000
WORKERS = 10
WATCH_S = 60
# Jobs are asked for so long after the end of the traffic; then one may have
# nothing running for so long.
FINISH_S, IDLE_S = 14, 3


def tasks(count, ms, gpus, **step):
  return {'spec': json.dumps({'ms': ms, 'gpus': gpus}),
          'phases': [{'count': count, 'cpu': 1000, 'mem-mb': 500, 'gpus': gpus,
                      'estimated-ms': ms, **step}]}


def body(system, events, trouble):
  system.queues = {LATER: 2}
  system.start_all()
  for index in range(WORKERS):
    system.add_worker(index, labels=['b' if index == 0 else 'a'])
  system.wait_ready()
  time.sleep(5)
  if trouble:
    events.add('disruption', what='large jobs come at once', jobs=JOBS,
               tasks_of_each=TASKS)
  for number in range(JOBS if trouble else 0):
    status, _ = system.ask('POST', f'{0xc100 + number:016x}',
                           tasks(TASKS, WORK_MS, 1, requires='b'))
    if status != 200:
      raise AssertionError(f'a large job was not accepted: {status}')
    time.sleep(1 / JOBS_PER_S)
  time.sleep(5)
  status, _ = system.ask('POST', SMALL, tasks(1, 1000, 1), prefix=LATER)
  if status != 200:
    raise AssertionError(f'the small job was not accepted: {status}')
  accepted = time.monotonic()
  began = None
  while time.monotonic() < accepted + WATCH_S and began is None:
    time.sleep(0.2)
    if any(row['task'].startswith(SMALL) for row in events.of('began')):
      began = time.monotonic() - accepted
    used = sum(len(worker.runs) for worker in system.workers)
    if used * 2 >= WORKERS * 8:
      raise AssertionError('half of the capacity is in use')
  events.add('note', what=f'the small job began after {began} s')
  status, text = system.ask('GET', SMALL, prefix=LATER)
  if began is not None and began <= FINISH_S + IDLE_S:
    return []
  return [f'for {began or WATCH_S} s the small job had nothing running, with '
          f'nine of ten workers idle; its state: {status} {text}']


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
