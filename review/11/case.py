"""A heartbeat of a service that the configuration no longer has."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 8
NEW = 'pool-2'
# Half of the workers serve the new service.
IN_NEW = {f'w{number}' for number in range(WORKERS // 2, WORKERS)}
OLD_JOB = '00000000000000a1'
JOB = '00000000000000b1'
TASKS = 4


def catalog(version, service, services):
  """The configuration that sends the queue to the service."""
  content = small.standin.catalog(version)
  content['services'] = [{'name': name, 'rejects-overload': True}
                         for name in services]
  content['routes'][0]['service'] = service
  return content


def foreign_heartbeat(system, worker):
  """Another writer's heartbeat, of the old service, at the worker's address."""
  body = {'service': small.standin.POOL,
          'address': f'{worker.address}:{small.standin.WORKER_PORT}',
          'zone': 'z', 'version': 'v1', 'slots': 8, 'cold-left-ms': 0,
          'state': 'ready', 'capacity': worker.capacity,
          'labels': [worker.kind, worker.rack], 'server-time-ms': 1, 'seq': 1,
          'born': int(time.time() * 1000), 'remaining-ms': 0}
  status, _ = small.standin.call(system.controls[0], small.standin.HTTP_PORT,
                                 'PUT', '/instances/another', body, timeout=1)
  system.notes.add(f'heartbeat of another writer at the address of '
                   f'{worker.name}: {status}')


def play(system):
  old = small.standin.POOL
  system.configure(catalog(2, old, [old, NEW]))
  system.accept(OLD_JOB, small.standin.lasting_job(1))
  small.wait_for('the first job runs',
                 lambda: system.record.where(OLD_JOB)[0], 10)
  # The queue moves to another service, and the old one is left out.
  system.configure(catalog(3, NEW, [NEW]))
  time.sleep(4)
  system.accept(JOB, small.standin.job([TASKS], ms=8000, gpus=2))
  small.wait_for('the second job runs',
                 lambda: system.record.where(JOB)[0], 10)
  time.sleep(1)
  name, _ = system.record.where(JOB)
  worker = next(w for w in system.workers if w.name == name)
  if small.is_trouble():
    foreign_heartbeat(system, worker)
  time.sleep(10)
  for violation in system.record.violations:
    system.notes.add(f'TWICE: {violation}')
  return small.BROKEN if system.record.violations else small.HELD


small.ZonedWorker.services = {name: NEW for name in IN_NEW}
small.run(__file__, play, controls=3, entries=2, workers=WORKERS)
