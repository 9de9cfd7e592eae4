"""Two control nodes are replaced, and a third one 45 s later."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, '..', 'lib'))

import deployment  # pylint: disable=wrong-import-position

WORKERS = 4
# An empty node comes this long after another one is gone, and has this long to
# catch up.
EMPTY_AFTER_S = 2
CATCH_UP_S = 4.1
QUIET_S = 45
# Jobs are asked for this long after the last replacement, for some seconds.
FINISH_S = 14
ASKED_S = 12
LASTING_MS = 10_000_000


def replace_oldest(system):
  """Replaces the control node that has been there longest and doesn't lead."""
  if not deployment.with_trouble():
    return time.sleep(EMPTY_AFTER_S + CATCH_UP_S)
  leader = system.find_leader()
  oldest = [name for name in system.nodes
            if name.startswith('control') and name != leader][0]
  system.replace_control(oldest, EMPTY_AFTER_S)
  return time.sleep(CATCH_UP_S)


def play_case(system):
  key = deployment.new_key()
  body = deployment.standin.job([2], ms=LASTING_MS)
  body['phases'][0]['long-running'] = True
  if system.ask('POST', key, body)[0] != 200:
    raise AssertionError('the job was not accepted')
  replace_oldest(system)
  replace_oldest(system)
  time.sleep(QUIET_S)
  if not system.serves(key):
    return 'the group does not serve after two nodes have been replaced'
  replace_oldest(system)
  time.sleep(FINISH_S)
  end = time.monotonic() + ASKED_S
  while time.monotonic() < end:
    if system.serves(key):
      return ''
    time.sleep(1)
  return ('an accepted job and the acknowledged configuration get no answer, '
          f'from {FINISH_S} s after the third replacement on')


if __name__ == '__main__':
  sys.exit(deployment.play(FOLDER, play_case, WORKERS))
