// A stateless entry for graph jobs: relays callers' requests to the leader.
//
// It is ready for callers while a leader that has a catalog answers it.

#ifndef FLAMINGOHOLLOW_GRAPH_ENTRY_H_
#define FLAMINGOHOLLOW_GRAPH_ENTRY_H_

#include <atomic>
#include <boost/leaf/result.hpp>
#include <memory>

#include "flamingohollow/control.h"
#include "flamingohollow/graph_relay.h"
#include "flamingohollow/graph_settings.h"
#include "util/io_threads.h"

namespace flamingohollow {

class GraphEntry {
 public:
  // Lives on loop 0 of `threads`, which must outlive it. Fails with
  // ControlError.
  static boost::leaf::result<std::unique_ptr<GraphEntry>> Create(
      const GraphSettings& settings, IoThreads& threads);
  ~GraphEntry();
  GraphEntry(const GraphEntry&) = delete;
  GraphEntry& operator=(const GraphEntry&) = delete;

  // Starts to search for the leader. Any thread.
  void Start();
  // Loop 0 only.
  GraphRelay& relay();
  const std::atomic<bool>& ready() const;
  // Takes the seeds from changed settings. Any thread.
  void SetSeeds(const GraphSettings& settings);
  // Makes the entry not ready for good; its calls are answered by `end`. Any
  // thread.
  void Drain(Time end);

 private:
  struct Impl;
  explicit GraphEntry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_ENTRY_H_
