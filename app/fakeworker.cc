// fakeworker: the stand-in for a backend server that tests and the quickstart
// use. See flamingohollow/testing/fake_worker.h.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "flamingohollow/testing/fake_worker.h"
#include "util/text.h"

ABSL_FLAG(std::string, name, "worker-0", "the worker's id");
ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "HOST:PORT of its server");
ABSL_FLAG(std::string, servers, "", "the entries, HOST:PORT,HOST:PORT");
ABSL_FLAG(std::string, token_file, "", "file with the workers' token");
ABSL_FLAG(std::string, events, "events.jsonl", "file that takes the events");
ABSL_FLAG(std::string, region, "region", "its region");
ABSL_FLAG(std::string, failure_domain, "domain", "its failure domain");
ABSL_FLAG(std::string, rack, "rack", "its rack");
ABSL_FLAG(std::uint32_t, accelerators, 8, "how many accelerators it has");
ABSL_FLAG(std::uint32_t, slots, 8, "how many tasks it runs at once");
ABSL_FLAG(std::string, mode, "ok", "ok, fail_all, hang, late, twice or refuse");

namespace flamingohollow {
namespace {

constexpr int kUsageError = 2;

int Main() {
  const std::map<std::string, FakeWorkerMode> modes = {
      {"ok", FakeWorkerMode::kOk},       {"fail_all", FakeWorkerMode::kFailAll},
      {"hang", FakeWorkerMode::kHang},   {"late", FakeWorkerMode::kLate},
      {"twice", FakeWorkerMode::kTwice}, {"refuse", FakeWorkerMode::kRefuse}};
  const auto mode = modes.find(absl::GetFlag(FLAGS_mode));
  if (mode == modes.end()) {
    fmt::print(stderr, "mode \"{}\" does not exist\n",
               absl::GetFlag(FLAGS_mode));
    return kUsageError;
  }
  FakeWorkerOptions options;
  options.name_ = WorkerId(absl::GetFlag(FLAGS_name));
  options.listen_ = absl::GetFlag(FLAGS_listen);
  options.servers_ = SplitText(absl::GetFlag(FLAGS_servers), ',');
  if (options.servers_.empty()) {
    fmt::print(stderr, "--servers is empty\n");
    return kUsageError;
  }
  options.token_ = ReadFirstLine(absl::GetFlag(FLAGS_token_file));
  options.events_path_ = absl::GetFlag(FLAGS_events);
  options.place_ = {Region(absl::GetFlag(FLAGS_region)),
                    FailureDomain(absl::GetFlag(FLAGS_failure_domain)),
                    Rack(absl::GetFlag(FLAGS_rack))};
  options.accelerators_ = Accelerators(absl::GetFlag(FLAGS_accelerators));
  options.slots_ = absl::GetFlag(FLAGS_slots);
  options.mode_ = mode->second;
  return RunFakeWorker(options);
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("a stand-in for a backend server");
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::Main();
}
