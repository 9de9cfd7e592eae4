"""A frozen control node wakes and carries out an order that is long overtaken."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

WORKERS = 8
ZONE = 'y'
# Half of the workers are in the zone that is emptied.
IN_ZONE = {f'w{number}' for number in range(WORKERS // 2, WORKERS)}
ORDER = f'/evacuate/{ZONE}'
FREEZE_S = 7
EVACUATE_S = 5
CONTACT_S = 4


def order(system, method, controls):
  """Sends the order to one node after the other until it is acknowledged."""
  for control in controls:
    if system.order(method, ORDER, control) == 200:
      return time.time()
  raise AssertionError('the order is not acknowledged')


def play(system):
  leader = system.leader()
  follower = next(name for name in system.nodes
                  if name.startswith('control') and name != leader)
  others = [name for name in system.nodes
            if name.startswith('control') and name != follower]
  order(system, 'POST', others)
  time.sleep(5)
  if small.is_trouble():
    system.freeze(follower)
  frozen_at = time.monotonic()
  # The zone is taken back; the first node that is asked is the frozen one.
  order(system, 'DELETE', [follower, *others])
  time.sleep(2)
  # It is emptied once more.
  ordered = order(system, 'POST', others)
  time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
  if small.is_trouble():
    system.thaw(follower)
  time.sleep(EVACUATE_S + CONTACT_S)
  for number in range(1, WORKERS + 1):
    system.accept(f'{number:016x}', small.standin.job([1], ms=3000, gpus=8))
  time.sleep(10)
  late = [(task, worker) for task, starts in system.record.started.items()
          for _, worker, at in starts
          if worker in IN_ZONE and at > ordered + EVACUATE_S]
  for task, worker in late:
    system.notes.add(f'EVAC: {task} was started on {worker} in zone {ZONE}')
  return small.BROKEN if late else small.HELD


small.ZonedWorker.zones = {name: ZONE for name in IN_ZONE}
small.run(__file__, play, settings={'failure_domains': f'["z", "{ZONE}"]'},
          controls=3, entries=2, workers=WORKERS)
