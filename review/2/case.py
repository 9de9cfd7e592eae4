"""A control node is replaced; 8 s later two others lose their disks."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib'))

import deployment  # pylint: disable=wrong-import-position

WORKERS = 4
# An empty node comes this long after another one is gone, and has this long to
# catch up.
EMPTY_AFTER_S = 2
CATCH_UP_S = 5
# How long the nodes that lose their disks are away.
AWAY_S = 3
# Jobs are asked for this long after all nodes are back, for some seconds.
FINISH_S = 14
ASKED_S = 12
LASTING_MS = 10_000_000


def choose(system, count):
  """Returns control nodes that are there from the start and don't lead."""
  leader = system.find_leader()
  first = [f'control-{number}' for number in range(5)]
  return [name for name in first if name in system.nodes
          and name != leader][:count]


def play_case(system):
  key = deployment.new_key()
  body = deployment.standin.job([2], ms=LASTING_MS)
  body['phases'][0]['long-running'] = True
  if system.ask('POST', key, body)[0] != 200:
    raise AssertionError('the job was not accepted')
  if deployment.with_trouble():
    system.replace_control(choose(system, 1)[0], EMPTY_AFTER_S)
  time.sleep(CATCH_UP_S)
  if not system.serves(key):
    raise AssertionError('the group does not serve before the disks are lost')
  if deployment.with_trouble():
    losses = [threading.Thread(target=system.wipe_control, args=[name, AWAY_S])
              for name in choose(system, 2)]
    for loss in losses:
      loss.start()
    for loss in losses:
      loss.join()
  time.sleep(FINISH_S)
  end = time.monotonic() + ASKED_S
  while time.monotonic() < end:
    if system.serves(key):
      return ''
    time.sleep(1)
  return ('an accepted job and the acknowledged configuration get no answer, '
          f'from {FINISH_S} s after all nodes are back on')


if __name__ == '__main__':
  sys.exit(deployment.play(FOLDER, play_case, WORKERS))
