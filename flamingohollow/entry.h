// The entry process: the HTTP front end of the control processes for callers,
// operators and workers. Its span file is the only thing it stores on disk.
//
// Threads: the traffic threads serve HTTP and run the stateless filters; one
// control thread owns all state (entry_core.h); the RPC thread performs the
// exchanges with control.

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
  // Starts serving. Fails with EntryError.
  static boost::leaf::result<std::unique_ptr<EntryServer>> Create(
      const Settings& settings, const std::vector<LoadedToken>& tokens);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  // Stops gracefully: the entry reports not ready, waiting callers get the
  // current state of their job, and requests in flight are finished. Returns
  // when all are finished or after limits.drain_ms. Not async-signal-safe.
  void Stop();
  std::uint16_t port() const;

 private:
  struct Impl;
  explicit EntryServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_H_
