// flamingohollowd: the daemon, a control or an entry process by its settings.
//
//   flamingohollowd --config=FILE          serves until SIGTERM or SIGINT
//   flamingohollowd --config=FILE --check  checks the settings and exits
//
// Exit codes: 0 after a graceful stop or a clean check, 1 when it can't start,
// 2 when the settings have mistakes.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <pthread.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "flamingohollow/control_process.h"
#include "flamingohollow/entry.h"
#include "flamingohollow/settings.h"
#include "util/flags.h"

ABSL_FLAG(std::string, config, "", "the settings file");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace flamingohollow {
namespace {

constexpr int kCannotStart = 1;
constexpr int kBadSettings = 2;

// Blocks the stop signals in this thread and all that it starts later, so that
// only WaitForStop gets them. A peer that closes its end early must not kill
// the process, so SIGPIPE is ignored.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  return signals;
}

void WaitForStop(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

boost::leaf::result<int> RunEntry(const Settings& settings,
                                  const std::vector<LoadedToken>& tokens,
                                  const sigset_t& signals) {
  BOOST_LEAF_AUTO(server, EntryServer::Create(settings, tokens));
  WaitForStop(signals);
  server->Stop();
  return 0;
}

boost::leaf::result<int> RunControl(const Settings& settings,
                                    const sigset_t& signals) {
  BOOST_LEAF_AUTO(server, MakeControl(settings));
  std::thread control([&server] { server->Run(); });
  WaitForStop(signals);
  server->Stop();
  control.join();
  return 0;
}

boost::leaf::result<int> Run(const std::string& config, bool check) {
  BOOST_LEAF_AUTO(settings, LoadSettings(config));
  BOOST_LEAF_AUTO(tokens, LoadTokens(settings, config));
  if (check) return 0;
  const sigset_t signals = BlockStopSignals();
  return settings.role_ == ProcessRole::kEntry
             ? RunEntry(settings, tokens, signals)
             : RunControl(settings, signals);
}

int CannotStart(const std::string& message) {
  fmt::print(stderr, "{}\n", message);
  return kCannotStart;
}

int Main() {
  const std::string config = absl::GetFlag(FLAGS_config);
  if (config.empty()) {
    fmt::print(stderr, "--config is missing\n");
    return kBadSettings;
  }
  return boost::leaf::try_handle_all(
      [&] { return Run(config, absl::GetFlag(FLAGS_check)); },
      [](const SettingsMistakes& mistakes) {
        for (const SettingsMistake& mistake : mistakes.mistakes_) {
          fmt::print(stderr, "{}\n", DescribeMistake(mistake));
        }
        return kBadSettings;
      },
      [](const EntryError& error) { return CannotStart(error.message_); },
      [](const ControlError& error) { return CannotStart(error.message_); },
      [] { return CannotStart("can't start"); });
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "a control or an entry process: flamingohollowd --config=FILE [--check]");
  if (const auto mistake = flamingohollow::FindFlagMistake(argc, argv)) {
    fmt::print(stderr, "{}\n", *mistake);
    return flamingohollow::kBadSettings;
  }
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::Main();
}
