// A control node for graph jobs: replica, service and the links to other nodes
// on one event loop.
//
// The group forms by itself: on the system's first start the seeds found it,
// each trying in turn until it exists; every other node announces itself to the
// leader, which takes it in when voters are missing (membership_plan.h).

#ifndef FLAMINGOHOLLOW_GRAPH_CONTROL_H_
#define FLAMINGOHOLLOW_GRAPH_CONTROL_H_

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <string>

#include "flamingohollow/control.h"
#include "flamingohollow/graph_messages.h"
#include "flamingohollow/graph_relay.h"
#include "flamingohollow/graph_service.h"
#include "flamingohollow/graph_settings.h"
#include "util/io_threads.h"

namespace flamingohollow {

class GraphControl {
 public:
  // Lives on loop 0 of `threads`, which must outlive it, as must `metrics`.
  // Orders to workers leave through `send`. Fails with ControlError.
  static boost::leaf::result<std::unique_ptr<GraphControl>> Create(
      const GraphSettings& settings, IoThreads& threads, SendOrder send,
      Metrics& metrics);
  ~GraphControl();
  GraphControl(const GraphControl&) = delete;
  GraphControl& operator=(const GraphControl&) = delete;

  // Starts ticking. Any thread.
  void Start();
  // Loop 0 only. Reaches the leader wherever it is.
  GraphRelay& relay();

  // New seeds from changed settings. Any thread.
  void SetSeeds(const GraphSettings& settings);
  // Hands leadership over and answers what is in flight; returns when done or
  // after `limit`. Not from loop 0.
  void Stop(Duration limit);

 private:
  struct Impl;
  explicit GraphControl(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_CONTROL_H_
