"""A worker is cut off for some seconds while more than 500 tasks end on it."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position
import standin  # pylint: disable=wrong-import-position

KEYS = ['00000000000000a1', '00000000000000a2']
# Of each job. The widest step of the pages' deployments has 470.
TASKS = 300
WORK_MS = 8000
# The pages' largest cut of workers is 5.5 s for a share of 0.17.
CUT_S = 4.5
WORKERS = 6
SIZE = {'cpu': 32000, 'mem-mb': 128000, 'gpus': 8}


def many_small_tasks():
  spec = json.dumps({'ms': WORK_MS, 'gpus': 0})
  return {'spec': spec,
          'phases': [{'count': TASKS, 'cpu': 50, 'mem-mb': 100,
                      'estimated-ms': WORK_MS, 'requires': 'b'}]}


def body(system, events, trouble):
  system.start_all()
  for index in range(WORKERS):
    system.add_worker(index, labels=['b' if index == 0 else 'a'], size=SIZE)
  system.wait_ready()
  # Until the leader knows the workers.
  time.sleep(5)
  for key in KEYS:
    status, _ = system.ask('POST', key, many_small_tasks())
    if status != 200:
      raise AssertionError(f'a job was not accepted: {status}')
  first = time.monotonic()
  while len(events.of('began')) < TASKS * len(KEYS):
    if time.monotonic() > first + 7:
      raise AssertionError('the tasks did not start in time')
    time.sleep(0.05)
  took = time.monotonic() - first
  events.add('note', what=f'all tasks have begun after {took:.1f} s')
  if len(events.of('ended')) > 0:
    raise AssertionError('tasks have ended before the cut')
  if trouble:
    time.sleep(max(0, first + WORK_MS / 1000 - 0.5 - time.monotonic()))
    events.add('disruption', what='worker cut off', worker='w0')
    system.workers[0].unreachable = True
    time.sleep(CUT_S)
    system.workers[0].unreachable = False
    events.add('disruption', what='worker back', worker='w0')
  states = [system.await_state(key, ('completed', 'failed'), 40)
            for key in KEYS]
  events.add('note', what=f'the jobs are {states}')
  time.sleep(3)
  lapsed = [row for row in events.of('ended') if row['how'] == 'lapsed']
  if lapsed:
    raise AssertionError('the lease of a worker lapsed')
  return scene.find_repeated(events)


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
