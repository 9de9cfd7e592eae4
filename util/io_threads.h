// A fixed set of threads, each with an Asio event loop of its own.
//
// Work of one loop never runs on two threads, so what belongs to one loop
// needs no lock.

#ifndef UTIL_IO_THREADS_H_
#define UTIL_IO_THREADS_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "util/clock.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace flamingohollow {

class IoThreads {
 public:
  // Starts `count` threads; at least one.
  explicit IoThreads(std::size_t count);
  // Stops and joins them; what still waits on a loop is dropped.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  std::size_t size() const;
  boost::asio::io_context& Loop(std::size_t index);
  // Returns a time before which no request has arrived that the loop reads now
  // (see loop_watch.h). Only on the loop's thread.
  Time EarliestArrival(std::size_t index);
  // Runs `task` on a loop's thread; thread-safe.
  void Post(std::size_t index, std::function<void()> task);
  // Stops and joins the threads and drops what waits on the loops; nothing
  // runs on them afterwards. Timers and sockets of the loops stay valid until
  // the destructor.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // UTIL_IO_THREADS_H_
