"""Two tenants choose the same ID for a job, each on a queue of its own."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position
import standin  # pylint: disable=wrong-import-position

ID, OTHER_ID = '00000000000000e1', '00000000000000e2'
OTHER_KEY, OTHER_QUEUE = 'key-of-zenith', '/later/'
# A job may be unknown for so long after its acknowledgement.
VISIBLE_S = 3


def job(who):
  body = standin.job([1], ms=500)
  body['spec'] = json.dumps({'ms': 500, 'gpus': 1, 'who': who})
  return body


def body(system, events, trouble):
  system.queues = {OTHER_QUEUE: 1}
  system.tenants = {'zenith': OTHER_KEY}
  system.start_all()
  for index in range(4):
    system.add_worker(index)
  system.wait_ready()
  time.sleep(5)
  other = {'prefix': OTHER_QUEUE, 'key': OTHER_KEY}
  name = ID if trouble else OTHER_ID
  if trouble:
    events.add('disruption', what='two tenants choose the same ID')
  status, _ = system.ask('POST', ID, job('acme'))
  if status != 200:
    raise AssertionError(f'the first job was not accepted: {status}')
  accepted, _ = system.ask('POST', name, job('zenith'), **other)
  time.sleep(VISIBLE_S + 2)
  first, _ = system.ask('GET', ID)
  status, text = system.ask('GET', name, **other)
  ran = {row['task'] for row in events.of('began')}
  events.add('note', what=f'accepted: {accepted}, read: {status} {text}, '
             f'tasks that ran: {sorted(ran)}, the first job: {first}')
  if accepted == 200 and status == 410:
    return ['the second tenant\'s job was accepted, never ran, and is answered '
            '410']
  return []


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
