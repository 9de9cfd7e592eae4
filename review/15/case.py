"""A frozen entry wakes and hands in a job that was cancelled meanwhile."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

JOB = '00000000000000c1'
FREEZE_S = 4
CANCEL_S = 3
# How long the client waits before it leaves.
PATIENCE_S = 0.5


def play(system):
  # Connections and the catalog are in use before.
  system.accept('00000000000000a1', small.standin.job([2], ms=300))
  system.accept('00000000000000a2', small.standin.job([2], ms=300), entry=1)
  time.sleep(4)
  if small.is_trouble():
    system.freeze('entry-0')
  frozen_at = time.monotonic()
  system.send('POST', JOB, small.standin.lasting_job(2), entry=0,
              timeout=PATIENCE_S)
  cancelled = None
  while cancelled is None:
    if system.send('DELETE', JOB, entry=1)[0] in (200, 410):
      cancelled = time.time()
  system.state(JOB, entry=1)
  time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
  if small.is_trouble():
    system.thaw('entry-0')
  time.sleep(8)
  system.state(JOB, entry=1)
  late = [(task, worker, at) for task, starts in system.record.started.items()
          for _, worker, at in starts
          if task.split('.')[0] == JOB and at > cancelled + CANCEL_S]
  for task, worker, at in late:
    system.notes.add(f'UNASKED: {task} was started on {worker}, '
                     f'{at - cancelled:.1f} s after the cancelling was '
                     'acknowledged')
  return small.BROKEN if late else small.HELD


small.run(__file__, play, controls=3, entries=2, workers=4)
