"""One worker of ten crashes three times under a task that lasts."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position

KEY = '00000000000000b2'
WORKERS = 10
CRASHES = 3
# The worker is away for so long after each crash.
DOWN_S = 1.5
# How long it has been well before the next crash.
WELL_S = 8


def lasting_task():
  return {'spec': json.dumps({'ms': 600000, 'gpus': 1}),
          'phases': [{'count': 1, 'cpu': 2000, 'mem-mb': 1000, 'gpus': 1,
                      'estimated-ms': 10000, 'requires': 'b',
                      'long-running': True}]}


def await_run(worker, limit_s):
  end = time.monotonic() + limit_s
  while time.monotonic() < end:
    with worker.lock:
      if worker.runs:
        return True
    time.sleep(0.05)
  return False


def body(system, events, trouble):
  system.start_all()
  for index in range(WORKERS):
    system.add_worker(index, labels=['b' if index == 0 else 'a'])
  system.wait_ready()
  time.sleep(5)
  worker = system.workers[0]
  status, _ = system.ask('POST', KEY, lasting_task())
  if status != 200:
    raise AssertionError(f'the job was not accepted: {status}')
  for number in range(CRASHES):
    if not await_run(worker, 25):
      events.add('note', what='the task does not run any more')
      break
    time.sleep(WELL_S)
    if not trouble:
      continue
    events.add('disruption', what='worker crashes', number=number + 1)
    worker.down_until = time.monotonic() + DOWN_S
    worker.crash()
    time.sleep(DOWN_S)
  state = system.await_state(KEY, ('failed',), 15)
  running = [len(worker.runs) for worker in system.workers]
  events.add('note', what=f'state: {state}, tasks on the workers: {running}')
  if any(row['how'] == 'failed' for row in events.of('ended')):
    raise AssertionError('a run has ended as failed')
  if state != 'failed':
    return []
  return ['the job is shown as failed, and no run of it has ended so']


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
