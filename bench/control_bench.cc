// Measures how fast table changes are acknowledged and come into force.
//
//   control_bench [--voters=3] [--entries=3] [--changes=300]
//
// Runs real control servers, each with a data folder of its own under the
// machine's temporary folder, and simulated entries that keep their exchanges
// open, all in this process and over RPC on loopback. One operator repeatedly
// changes one row, each change based on the previous one, and after each polls
// the status until the change is in force.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/codec.h"
#include "flamingohollow/control_process.h"
#include "flamingohollow/rpc.h"
#include "flamingohollow/settings.h"

ABSL_FLAG(int, voters, 3, "control servers");
ABSL_FLAG(int, entries, 3, "simulated entries");
ABSL_FLAG(int, changes, 300, "table changes, at most 10000");

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;
namespace tcp = boost::asio::ip;
using Clock = std::chrono::steady_clock;

constexpr Duration kCallTimeout(3000);
constexpr int kMaxChanges = 10000;
// Maximum number of calls before the bench gives up.
constexpr int kMaxAttempts = 20000;

double MsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

// Returns addresses whose ports are currently free.
std::vector<std::string> FreeAddresses(int count) {
  boost::asio::io_context io;
  std::vector<tcp::tcp::acceptor> acceptors;
  std::vector<std::string> addresses;
  for (int i = 0; i < count; ++i) {
    acceptors.emplace_back(io,
                           tcp::tcp::endpoint(tcp::address_v4::loopback(), 0));
    addresses.push_back(
        fmt::format("127.0.0.1:{}", acceptors.back().local_endpoint().port()));
  }
  return addresses;
}

template <typename Result>
Result OrExit(leaf::result<Result> result, const char* what) {
  if (result) return std::move(*result);
  fmt::print(stderr, "{}\n", what);
  std::exit(1);
}

// One control server on its own thread.
class Voter {
 public:
  explicit Voter(const Settings& settings)
      : server_(OrExit(MakeControl(settings), "cannot start a control server")),
        thread_([this] { server_->Run(); }) {}
  ~Voter() {
    server_->Stop();
    thread_.join();
  }
  Voter(const Voter&) = delete;
  Voter& operator=(const Voter&) = delete;

 private:
  std::unique_ptr<ControlServer> server_;
  std::thread thread_;
};

// A simulated entry: keeps an exchange open and confirms each version at once.
class SimulatedEntry {
 public:
  SimulatedEntry(RpcNode& rpc, std::string address, int index)
      : rpc_(rpc), address_(std::move(address)) {
    sync_.entry_ = NodeName(fmt::format("entry-{}", index));
    sync_.incarnation_ = Incarnation(1);
    Send();
  }

  void Stop() { stopping_ = true; }

 private:
  // Runs on the RPC thread, except for the first call.
  void Send() {
    rpc_.Call(address_, RpcKind::kSync, Encode(sync_), kCallTimeout,
              [this](bool ok, const std::string& body) {
                if (ok) OnSyncAnswer(body);
                if (!stopping_) Send();
              });
  }

  void OnSyncAnswer(const std::string& body) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(answer, DecodeControlSync(body));
          if (answer.lease_ == Duration(0)) return {};
          sync_.table_version_ = answer.table_version_;
          sync_.exclusions_version_ = answer.exclusions_version_;
          return {};
        },
        [] {});
  }

  RpcNode& rpc_;
  std::string address_;
  EntrySync sync_;
  std::atomic<bool> stopping_ = false;
};

CallReply Call(RpcNode& rpc, const std::string& address,
               const CallRequest& request) {
  auto answer = std::make_shared<std::promise<CallReply>>();
  rpc.Call(address, RpcKind::kCall, Encode(request), kCallTimeout,
           [answer](bool ok, const std::string& body) {
             answer->set_value(leaf::try_handle_all(
                 [&]() -> leaf::result<CallReply> {
                   if (!ok) return CallReply();
                   return DecodeCallReply(body);
                 },
                 [] { return CallReply(); }));
           });
  return answer->get_future().get();
}

CallRequest MakeRequest(CallKind kind) {
  CallRequest request;
  request.kind_ = kind;
  return request;
}

// Forms the group and finds its leader.
std::string FormAndFindLeader(RpcNode& rpc,
                              const std::vector<std::string>& addresses) {
  Call(rpc, addresses[0], MakeRequest(CallKind::kInit));
  for (int i = 0; i < kMaxAttempts; ++i) {
    const std::string& address = addresses[i % addresses.size()];
    if (Call(rpc, address, MakeRequest(CallKind::kTableShow)).is_leader_) {
      return address;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  fmt::print(stderr, "no leader was elected\n");
  std::exit(1);
}

bool InForceAt(RpcNode& rpc, const std::string& leader, std::int64_t version) {
  const CallReply reply =
      Call(rpc, leader, MakeRequest(CallKind::kTableStatus));
  if (reply.status_ != 200) return false;
  const auto status = boost::json::parse(reply.body_);
  return status.at("in_force").as_bool() &&
         status.at("version").to_number<std::int64_t>() >= version;
}

CallRequest MakeChange(int index) {
  CallRequest request = MakeRequest(CallKind::kTableApply);
  request.caller_ = "bench";
  request.change_.request_id_ = RequestId(fmt::format("change-{}", index));
  request.change_.base_version_ = TableVersion(index);
  Row row;
  row.customer_ = CustomerId("acme");
  row.weight_ = 1 + index;
  request.change_.upserts_ = {row};
  return request;
}

void Report(const char* what, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
  };
  fmt::print("{}: median {:.2f} ms, 99th {:.2f} ms, worst {:.2f} ms\n", what,
             at(0.5), at(0.99), values.back());
}

void MeasureChanges(RpcNode& rpc, const std::string& leader, int changes) {
  std::vector<double> acknowledged;
  std::vector<double> in_force;
  for (int i = 0; i < changes; ++i) {
    const auto start = Clock::now();
    if (Call(rpc, leader, MakeChange(i)).status_ != 200) {
      fmt::print(stderr, "change {} was not accepted\n", i);
      std::exit(1);
    }
    acknowledged.push_back(MsSince(start));
    for (int attempts = 0; attempts < kMaxAttempts; ++attempts) {
      if (InForceAt(rpc, leader, i + 1)) break;
    }
    in_force.push_back(MsSince(start));
  }
  Report("acknowledged", acknowledged);
  Report("in force everywhere", in_force);
  double total = 0;
  for (const double ms : acknowledged) total += ms;
  fmt::print("{:.0f} acknowledged changes a second, one after the other\n",
             1000 * changes / total);
}

Settings MakeSettings(const std::filesystem::path& folder,
                      const std::vector<std::string>& addresses, int index) {
  Settings settings;
  settings.role_ = ProcessRole::kControl;
  settings.name_ = NodeName(fmt::format("control-{}", index));
  settings.data_folder_ = folder / settings.name_.value();
  settings.listen_ = addresses[index];
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    settings.voters_.push_back({NodeName(fmt::format("control-{}", i)),
                                addresses[i], FailureDomain("saigon-a")});
  }
  return settings;
}

int Main() {
  const int voters = std::clamp(absl::GetFlag(FLAGS_voters), 1, 7);
  const int entries = std::clamp(absl::GetFlag(FLAGS_entries), 0, 50);
  const int changes = std::clamp(absl::GetFlag(FLAGS_changes), 1, kMaxChanges);
  const auto folder =
      std::filesystem::temp_directory_path() /
      fmt::format("control_bench.{}", Clock::now().time_since_epoch().count());
  std::filesystem::create_directories(folder);
  const auto addresses = FreeAddresses(voters);
  {
    std::vector<std::unique_ptr<Voter>> group;
    group.reserve(voters);
    for (int i = 0; i < voters; ++i) {
      group.push_back(
          std::make_unique<Voter>(MakeSettings(folder, addresses, i)));
    }
    auto rpc = OrExit(RpcNode::Create("", {}), "cannot create the RPC client");
    const std::string leader = FormAndFindLeader(*rpc, addresses);
    std::vector<std::unique_ptr<SimulatedEntry>> simulated_entries;
    simulated_entries.reserve(entries);
    for (int i = 0; i < entries; ++i) {
      simulated_entries.push_back(
          std::make_unique<SimulatedEntry>(*rpc, leader, i));
    }
    // A new leader first waits for former leaders' leases, though none exist.
    const auto start = Clock::now();
    while (!InForceAt(*rpc, leader, 0) && MsSince(start) < 10000) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    fmt::print("{} voters, {} entries, {} changes\n", voters, entries, changes);
    MeasureChanges(*rpc, leader, changes);
    for (auto& simulated_entry : simulated_entries) simulated_entry->Stop();
    // Destroyed before the simulated entries, because it calls them.
    rpc.reset();
  }
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::Main();
}
