"""A worker carries out orders late and crashes; its next process runs one."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib_3'))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '..', 'lib_3'))
import scene  # pylint: disable=wrong-import-position

# The site file: a share of 0.055 of the orders, for 5.5 s; the bench: carried
# out 2 to 12 s later.
SHARE = 0.055
START_LATE_S, STOP_LATE_S = 8, 11
TROUBLE_S = 5.5
# Longer than the caller waits.
SILENT_S = 1.2
# When the worker crashes, and for how long it is away.
CRASH_AFTER_S, DOWN_S = 2.8, 1
WORKERS = 12
FIRST, WORK_MS = 0xf100, 25000
# Beside it, jobs of short tasks for the other workers.
BESIDE, BESIDE_TASKS = 0xf200, 12


class LateWorker(scene.Worker):
  """Leaves starts, and stops after a crash, unanswered until `late_until`."""

  def __init__(self, *arguments, **options):
    self.late_until = 0
    self.crashed = False
    self.here = threading.local()
    super().__init__(*arguments, **options)

  def is_silent(self):
    return getattr(self.here, 'mute', False) or super().is_silent()

  def carry_out(self, path, expected, body):
    with self.lock:
      status, answer = super().handle_command(path, expected, body)
    self.events.add('carried out late', worker=self.name, task=body['task'],
                    run=body['attempt'], order=path[-5:], status=status,
                    reason=answer.get('reason', ''))

  def handle_command(self, path, expected, body):
    self.here.mute = False
    start, stop = path.endswith('start'), path.endswith('stop')
    late = (time.monotonic() < self.late_until and
            (start or (stop and self.crashed)))
    if stop:
      self.events.add('ordered to stop', worker=self.name, task=body['task'],
                      run=body['attempt'], answered=not late)
    if not late:
      return super().handle_command(path, expected, body)
    delay = START_LATE_S if start else STOP_LATE_S
    self.events.add('no answer', worker=self.name, task=body['task'],
                    run=body['attempt'], order=path[-5:], delay=delay)
    timer = threading.Timer(delay, self.carry_out, (path, expected, body))
    timer.daemon = True
    timer.start()
    until = time.monotonic() + SILENT_S
    while time.monotonic() < until:
      self.lock.wait(until - time.monotonic())
    self.here.mute = True
    return 200, {}


def submit(system, number, ms, gpus, count=1, **step):
  status, _ = system.ask('POST', f'{number:016x}', {
      'spec': json.dumps({'ms': ms, 'gpus': gpus}),
      'phases': [{'count': count, 'cpu': 500, 'mem-mb': 500, 'gpus': gpus,
                  'estimated-ms': ms, **step}]})
  if status != 200:
    raise AssertionError(f'a job was not accepted: {status}')


def crash(worker, events):
  events.add('disruption', what='worker crashes', worker=worker.name)
  worker.down_until = time.monotonic() + DOWN_S
  worker.crash()
  worker.crashed = True
  time.sleep(DOWN_S)
  events.add('disruption', what='worker is back', worker=worker.name)
  worker.send_heartbeat()


def check_share(events):
  late = events.of('no answer')
  if not late:
    return
  since, until = late[0]['at'], late[0]['at'] + TROUBLE_S
  orders = [row for row in events.of('ordered') + events.of('ordered to stop')
            if since <= row['at'] < until and row.get('answered', True)]
  share = len(late) / (len(late) + len(orders))
  events.add('note', what=f'{len(late)} of {len(late) + len(orders)} starts and '
             f'stops were carried out late: {share:.3f}')
  if share > SHARE:
    raise AssertionError(f'too many orders were late: {share}')


def body(system, events, trouble):
  system.start_all()
  for index in range(WORKERS):
    size = {'cpu': 8000, 'mem-mb': 8000, 'gpus': 4 if index == 1 else 8}
    system.add_worker(index, LateWorker, size=size,
                      labels=['b' if index < 2 else 'a'])
  system.wait_ready()
  time.sleep(5)
  worker = system.workers[0]
  # Fills the smaller worker of the kind for a moment.
  submit(system, FIRST - 1, 2000, 4, requires='b')
  time.sleep(0.5)
  if trouble:
    events.add('disruption', what='orders are carried out late', worker='w0')
    worker.late_until = time.monotonic() + TROUBLE_S
  submit(system, FIRST, WORK_MS, 1, requires='b')
  began = time.monotonic()
  crasher = threading.Timer(CRASH_AFTER_S, crash, (worker, events))
  if trouble:
    crasher.start()
  number = 0
  while time.monotonic() < began + 20:
    number += 1
    submit(system, BESIDE + number, 300, 1, BESIDE_TASKS, requires='a')
    time.sleep(0.5)
  time.sleep(12)
  check_share(events)
  return scene.find_repeated(events)


if __name__ == '__main__':
  sys.exit(scene.play(FOLDER, body))
