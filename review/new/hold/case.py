"""Gangs that wait for whole workers hold room that never becomes free."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position

LASTING, GANGS, SMALL = 0xd100, (0xd200, 0xd201), 0xd300
LATER = '/later/'
WORKERS, MEMBERS, SMALL_JOBS = 10, 5, 5
WATCH_S = 60
# Jobs are asked for so long after the end of the traffic; then one may have
# nothing running for so long.
FINISH_S, IDLE_S = 14, 3


def submit(system, number, count, ms, gpus, prefix='/jobs/', **step):
  status, _ = system.ask('POST', f'{number:016x}', {
      'spec': json.dumps({'ms': ms, 'gpus': gpus}),
      'phases': [{'count': count, 'cpu': 500, 'mem-mb': 500, 'gpus': gpus,
                  'estimated-ms': min(ms, 20000), **step}]}, prefix=prefix)
  if status != 200:
    raise AssertionError(f'a job was not accepted: {status}')


def body(system, events, trouble):
  system.queues = {LATER: 2}
  system.start_all()
  for index in range(WORKERS):
    system.add_worker(index)
  system.wait_ready()
  time.sleep(5)
  # A small task on each worker, until it is cancelled.
  submit(system, LASTING, WORKERS, 600000, 1, LATER,
         **{'long-running': True, 'anti-affinity': 1})
  time.sleep(2)
  if len(events.of('began')) < WORKERS:
    raise AssertionError('the lasting tasks did not begin')
  if trouble:
    events.add('disruption', what='large jobs come at once', jobs=len(GANGS))
    for number in GANGS:
      submit(system, number, MEMBERS, 20000, 8, gang=True)
  time.sleep(3)
  for number in range(SMALL_JOBS):
    submit(system, SMALL + number, 1, 1000, 1, LATER)
  accepted = time.monotonic()
  waiting = {f'{SMALL + number:016x}' for number in range(SMALL_JOBS)}
  took = {}
  while time.monotonic() < accepted + WATCH_S and waiting:
    time.sleep(0.2)
    for row in events.of('began'):
      if row['task'].split('.')[0] in waiting:
        waiting.remove(row['task'].split('.')[0])
        took[row['task']] = round(time.monotonic() - accepted, 1)
    used = sum(run['gpus'] for worker in system.workers
               for run in list(worker.runs.values()))
    if used * 2 >= WORKERS * 8:
      raise AssertionError('half of the capacity is in use')
  events.add('note', what=f'small jobs began after {took}; {len(waiting)} '
             f'never in {WATCH_S} s; in use at the end: {used} GPUs')
  late = [seconds for seconds in took.values() if seconds > FINISH_S + IDLE_S]
  if not waiting and not late:
    return []
  return [f'{len(waiting) + len(late)} of {SMALL_JOBS} small jobs had nothing '
          f'running for {min(late, default=WATCH_S)} s or more, with '
          f'{used} of {WORKERS * 8} GPUs in use']


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
