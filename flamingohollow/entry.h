// The entry process: HTTP for callers, operators and workers, in front of the
// control processes. It keeps nothing on disk but its span file.
//
// Threads: the traffic threads carry HTTP and run the filters that need no
// state; one control thread owns all state (entry_core.h); the RPC thread
// carries the exchanges with control.

#ifndef FLAMINGOHOLLOW_ENTRY_H_
#define FLAMINGOHOLLOW_ENTRY_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/settings.h"
#include "util/clock.h"

namespace flamingohollow {

// Why an entry can't start.
struct EntryError {
  std::string message_;
};

class EntryServer {
 public:
  // Starts to serve. Fails with EntryError.
  static boost::leaf::result<std::unique_ptr<EntryServer>> Create(
      const Settings& settings, const std::vector<LoadedToken>& tokens);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  // Graceful: readiness goes off, waiting callers get their job's present
  // state, what is in flight is finished. Returns when all is done or after
  // limits.drain_ms. Not for signal handlers.
  void Stop();
  std::uint16_t port() const;

 private:
  struct Impl;
  explicit EntryServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_H_
