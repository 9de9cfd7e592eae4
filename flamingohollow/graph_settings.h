// Settings of a process that serves graph jobs, read from one YAML file (see
// docs/SETTINGS.md). The whole file is checked before anything starts, and
// every mistake is reported. Some settings may change while the process runs;
// see ReloadSettings.

#ifndef FLAMINGOHOLLOW_GRAPH_SETTINGS_H_
#define FLAMINGOHOLLOW_GRAPH_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/settings.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct GraphSettings {
  ProcessRole role_ = ProcessRole::kEntry;
  NodeName name_;
  // This VM's IP address. Also its name as a voter, because a VM that lost its
  // disk returns with the same address.
  std::string address_;
  FailureDomain failure_domain_;
  // All failure domains of the deployment, of which the operator may evacuate
  // any. Those of known workers may be evacuated too.
  std::vector<FailureDomain> failure_domains_;
  // Port on every VM at which the system's own processes reach each other.
  std::uint16_t internal_port_ = 0;
  // "IP:PORT" to listen at for `internal_port_`. The default is `address_` and
  // `internal_port_`; set it if a forwarder is in between.
  std::string internal_listen_;
  // "IP:PORT" of some control nodes; only the IP addresses are used.
  std::vector<std::string> seeds_;
  // "IP:PORT" of the HTTP server for callers (entry) or for workers and the
  // operator (control).
  std::string http_;
  // Entries only: "IP:PORT" at which the load balancer checks readiness.
  std::string readiness_;
  // "IP:PORT" of the metrics page; empty to serve none.
  std::string metrics_;

  // Control nodes only.
  std::string data_folder_;
  // Whether the whole system starts for the first time, so that the seeds found
  // the group.
  bool first_start_ = false;
  // Control nodes that may be lost at the same time, f; the group keeps 2f + 1
  // voters.
  std::uint32_t tolerated_losses_ = 1;

  Duration report_interval_ = Duration(1500);
  // Duration of a worker's lease; the longest that workers accept.
  Duration lease_ = Duration(10000);
  // A process that is stopped must exit within this time.
  Duration stop_grace_ = Duration(6000);
  Duration ended_job_retention_ = Duration(120000);
  // Tasks that run away from their data, and gangs that are spread over racks,
  // take this many times as long.
  std::uint32_t remote_factor_ = 3;
  // Memory of this process, in MB.
  std::uint32_t memory_mb_ = 256;
  // File descriptors that this process may open, unless the system's own limit
  // is lower.
  std::uint32_t max_open_files_ = 65536;
};

// Fails with SettingsMistakes.
boost::leaf::result<GraphSettings> ParseGraphSettings(std::string_view text,
                                                      const std::string& file);
boost::leaf::result<GraphSettings> LoadGraphSettings(const std::string& file);

// Returns how many bytes each part of the process may hold of what others send
// it, such as the bodies of requests or the calls under way.
std::uint64_t SharedMemory(const GraphSettings& settings);
// Returns the RPC addresses of the seeds.
std::vector<std::string> SeedAddresses(const GraphSettings& settings);
// Returns this node's own RPC address.
std::string InternalAddress(const GraphSettings& settings);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SETTINGS_H_
