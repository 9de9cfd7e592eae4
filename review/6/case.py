"""More ends than one list holds, on a worker that was cut off for some seconds."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib_2'))

import harness  # pylint: disable=wrong-import-position,import-error

# "The others are returned again (500 at a time)."
MAX_ENDS = 500
JOBS, TASKS, TASK_MS = (1, 2), 300, 8000
# Within the largest dose: a share of 0.17 of the workers for 5.5 s.
CUT_S = 4.5
KIND = 'b'


class Worker(harness.Worker):
  """A worker of 32 cores that lists at most MAX_ENDS ends at a time."""

  def __init__(self, *arguments):
    super().__init__(*arguments)
    self.capacity = {'cpu': 32000, 'mem-mb': 128000, 'gpus': 8}
    # Runs that ended as done and were taken note of.
    self.noted = set()
    self.lapsed = False

  def answer_poll(self, body):
    # Also while nothing runs. Before the first lease, nothing has run.
    if self.last_end and self.lease <= self.clock():
      self.lapsed = True
    listed = {end[0]: end for end in self.ends}
    status, answer = super().answer_poll(body)
    kept = {end[0] for end in self.ends}
    self.noted |= {(task, attempt) for number, task, attempt, how, *_ in
                   listed.values() if number not in kept and how == 'done'}
    answer['finished'] = answer['finished'][:MAX_ENDS]
    return status, answer

  def make_handler(self):
    handler = super().make_handler()
    # Answers in two segments must not wait for each other's acknowledgement.
    handler.disable_nagle_algorithm = True
    return handler


def find_repeated(worker):
  """Returns the tasks of which a later run was started though a run had ended
  as done, or did so beside it, if that end was taken note of."""
  with worker.record.lock:
    return sorted({task for task, attempt in worker.noted
                   if any(later > attempt for later, *_ in
                          worker.record.started[task])})


def case(deployment):
  worker = deployment.workers[0]
  for number in JOBS:
    job = harness.standin.job([TASKS], ms=TASK_MS, gpus=0)
    job['phases'][0].update({'cpu': 50, 'requires': KIND})
    deployment.submit(number, job)
  began = time.monotonic()
  for number in JOBS:
    deployment.wait_running(number, TASKS, limit_s=7)
  deployment.journal.write('case     all tasks run '
                           f'{time.monotonic() - began:.1f} s after the jobs')
  if deployment.record.ends:
    raise harness.CannotRun('tasks have ended before the cut')
  if harness.TROUBLE:
    time.sleep(max(0, began + TASK_MS / 1000 - 0.5 - time.monotonic()))
    deployment.journal.write('case     w0 is cut off')
    worker.unreachable = True
    time.sleep(CUT_S)
    worker.unreachable = False
    deployment.journal.write('case     w0 is back')
  end = time.monotonic() + 40
  for number in JOBS:
    while deployment.state(number) != 'completed' and time.monotonic() < end:
      time.sleep(0.5)
  time.sleep(3)
  lapsed = [how for *_, how in deployment.record.ends if how == 'lapsed']
  if lapsed or worker.lapsed:
    raise harness.CannotRun('the lease of a worker lapsed')
  twice = find_repeated(worker)
  deployment.journal.write(f'case     {len(twice)} tasks were started again '
                           f'after an end as done: {" ".join(twice[:5])}')
  return bool(twice)


if __name__ == '__main__':
  harness.Worker = Worker
  harness.main(case, HERE, workers=6, kinds={0: KIND})
