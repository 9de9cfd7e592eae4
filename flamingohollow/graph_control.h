// A control node for graph jobs: runs the replica, the service and the
// connections to other nodes on one event loop.
//
// The group forms without an operator: on the system's first start the seeds
// try in turn to found it until it exists. Every other node announces itself to
// the leader, which adds it if voters are missing (membership_plan.h).

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
  // Commands to workers are sent through `send`. Fails with ControlError.
  static boost::leaf::result<std::unique_ptr<GraphControl>> Create(
      const GraphSettings& settings, IoThreads& threads, SendCommand send,
      Metrics& metrics);
  ~GraphControl();
  GraphControl(const GraphControl&) = delete;
  GraphControl& operator=(const GraphControl&) = delete;

  // Starts ticking. Any thread.
  void Start();
  // Sends calls to the leader, on this or another node. Loop 0 only.
  GraphRelay& relay();

  // Takes the seeds from changed settings. Any thread.
  void SetSeeds(const GraphSettings& settings);
  // Transfers leadership if this node leads; returns when that is done or after
  // `limit`. Must not be called on loop 0.
  void Stop(Duration limit);

 private:
  struct Impl;
  explicit GraphControl(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_CONTROL_H_
