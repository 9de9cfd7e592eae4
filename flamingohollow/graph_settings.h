// The settings of a process that serves graph jobs: one YAML file,
// docs/SETTINGS.md. Checked wholly before anything starts; every mistake is
// reported. Some may change while the process runs; see ReloadSettings.

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
  // This VM's IP number; also its name as a voter, since a VM that lost its
  // disk comes back at its address.
  std::string address_;
  FailureDomain failure_domain_;
  // Our own processes speak to each other at this port, on every VM.
  std::uint16_t internal_port_ = 0;
  // "IP:PORT" to listen at for them; empty for `address_` and
  // `internal_port_`. Differs where a forwarder stands in between.
  std::string internal_listen_;
  // "IP:PORT" of some control nodes; only the IP numbers are used.
  std::vector<std::string> seeds_;
  // "IP:PORT" for callers (entry) or for workers and the operator (control).
  std::string http_;
  // Role entry: "IP:PORT" that tells the balancer whether to send callers here.
  std::string readiness_;
  // "IP:PORT" of the metrics page; empty for none.
  std::string metrics_;

  // Role control.
  std::string data_folder_;
  // The whole system starts for the first time: the seeds form the group.
  bool first_start_ = false;
  // Control nodes that may be lost at one time; the group keeps 2f + 1 voters.
  std::uint32_t tolerated_losses_ = 1;

  Duration report_interval_ = Duration(1500);
  // The longest lease that workers grant.
  Duration lease_ = Duration(10000);
  // A stopped process must be gone after this long.
  Duration stop_grace_ = Duration(6000);
  Duration keep_ended_ = Duration(120000);
  std::uint32_t remote_factor_ = 3;
  // Of this process, in MB.
  std::uint32_t memory_mb_ = 256;
};

// Fails with SettingsMistakes.
boost::leaf::result<GraphSettings> ParseGraphSettings(std::string_view text,
                                                      const std::string& file);
boost::leaf::result<GraphSettings> LoadGraphSettings(const std::string& file);

// RPC addresses of the seeds.
std::vector<std::string> SeedAddresses(const GraphSettings& settings);
// This node's own RPC address.
std::string InternalAddress(const GraphSettings& settings);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SETTINGS_H_
