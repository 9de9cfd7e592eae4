"""A queue is sent to another service while a job of it waits."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 8
NEW = 'pool-2'
# Half of the workers serve the new service, which has nothing to do.
IN_NEW = {f'w{number}' for number in range(WORKERS // 2, WORKERS)}
WAITING = '00000000000000f1'
WATCH_S = 25
IDLE_S = 3


def catalog(version, service):
  """The configuration that sends the queue to the service."""
  content = small.standin.catalog(version)
  new = {'name': NEW, 'rejects-overload': True}
  # Once nothing is sent to the old service, it is left out.
  content['services'] = ([new] if service == NEW
                         else [*content['services'], new])
  content['routes'][0]['service'] = service
  return content


def play(system):
  system.configure(catalog(2, small.standin.POOL))
  for number in range(1, WORKERS // 2 + 1):
    job = f'{number:016x}'
    system.accept(job, small.standin.lasting_job(1, gpus=8))
    small.wait_for(f'{job} runs', lambda job=job: system.record.where(job)[0],
                   10)
  system.accept(WAITING, small.standin.job([1], ms=1000, gpus=1))
  time.sleep(2)
  service = NEW if small.is_trouble() else small.standin.POOL
  system.configure(catalog(3, service))
  time.sleep(WATCH_S)
  if WAITING in system.record.jobs_started():
    return small.HELD
  state = system.state(WAITING)
  # One that is handed in now shows that the service has room.
  system.accept('00000000000000f2', small.standin.job([2], ms=500, gpus=8))
  time.sleep(IDLE_S)
  others = {worker for worker in IN_NEW
            for starts in system.record.started.values()
            for _, on, _ in starts if on == worker}
  if service == NEW and others:
    system.notes.add(f'LOST: {WAITING} is {state} and nothing of it has run '
                     f'for {WATCH_S} s, while the workers of its queue\'s '
                     f'service had nothing to do; a later job ran on {others}')
    return small.BROKEN
  return small.HELD


small.ZonedWorker.services = {name: NEW for name in IN_NEW}
small.run(__file__, play, controls=3, entries=2, workers=WORKERS)
