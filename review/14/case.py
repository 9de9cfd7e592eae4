"""A public route takes the place of another while a job runs."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib_3'))

import small  # pylint: disable=wrong-import-position

JOB = '00000000000000d1'
VISIBLE_S = 3


def play(system):
  system.accept(JOB, small.standin.lasting_job(2))
  time.sleep(2)
  key = small.standin.KEY
  if small.is_trouble():
    catalog = small.standin.catalog(2)
    # The route is removed, and a public one is added at its place.
    catalog['routes'][0].update({'name': 'r-public', 'public': True})
    system.configure(catalog)
    # Calls whose route is public carry no key.
    key = ''
  time.sleep(VISIBLE_S + 1)
  states = [system.state(JOB, entry=entry, key=key) for entry in (0, 1, 0, 1)]
  # For the record only.
  system.send('DELETE', JOB, key=key)
  if '410' in states:
    system.notes.add('LOST: a job that was accepted and not cancelled is '
                     'answered with 410')
    return small.BROKEN
  return small.HELD


small.run(__file__, play, controls=3, entries=2, workers=4)
