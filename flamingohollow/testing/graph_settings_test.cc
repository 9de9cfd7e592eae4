// Tests that the settings of graph processes are read and mistakes reported.

#include "flamingohollow/graph_settings.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

const std::string kControl =
    "role: control\n"
    "name: core-1\n"
    "address: 10.1.0.22\n"
    "failure_domain: saigon-a\n"
    "internal_port: 7000\n"
    "seeds: [\"10.1.0.22:8526\",\"10.2.0.38:8526\"]\n"
    "http: \"10.1.0.22:8526\"\n"
    "data_folder: \"/data\"\n"
    "first_start: true\n"
    "tolerated_losses: 2\n"
    "failure_domains: [\"north\",\"south\"]\n"
    "lease_ms: 10000\n";

// The keys of the reported mistakes, each followed by a space.
std::string MistakesOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ParseGraphSettings(text, "f.yaml"));
        return std::string();
      },
      [](const SettingsMistakes& mistakes) {
        std::string keys;
        for (const auto& mistake : mistakes.mistakes_) {
          keys += mistake.key_ + " ";
        }
        return keys;
      },
      [] { return std::string("?"); });
}

std::string With(const std::string& from, const std::string& to) {
  std::string text = kControl;
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("all settings are read") {
  const auto settings = leaf::try_handle_all(
      [&] { return ParseGraphSettings(kControl, "f.yaml"); },
      [] { return GraphSettings(); });
  CHECK_EQ(settings.role_, ProcessRole::kControl);
  CHECK_EQ(settings.tolerated_losses_, 2);
  CHECK(settings.first_start_);
  CHECK_EQ(settings.failure_domains_,
           std::vector{FailureDomain("north"), FailureDomain("south")});
  CHECK_EQ(settings.lease_, Duration(10000));
  CHECK_EQ(InternalAddress(settings), "10.1.0.22:7000");
  CHECK_EQ(SeedAddresses(settings),
           std::vector<std::string>{"10.1.0.22:7000", "10.2.0.38:7000"});
}

TEST_CASE("each mistake is reported by its key") {
  CHECK_EQ(MistakesOf(kControl), "");
  CHECK_EQ(MistakesOf(With("control", "leader")), "role readiness ");
  CHECK_EQ(MistakesOf(With("7000", "x")), "internal_port internal_port ");
  CHECK_EQ(MistakesOf(With("10.2.0.38:8526", "ten")), "seeds ");
  CHECK_EQ(MistakesOf(With("http: \"10.1.0.22:8526\"\n", "")), "http ");
  CHECK_EQ(MistakesOf(With("data_folder: \"/data\"\n", "")), "data_folder ");
  CHECK_EQ(MistakesOf(With("tolerated_losses: 2", "tolerated_losses: 9")),
           "tolerated_losses ");
  CHECK_EQ(MistakesOf(With("lease_ms: 10000", "lease_ms: 0")), "lease_ms ");
  CHECK_EQ(MistakesOf(kControl + "max_open_files: 511\n"), "max_open_files ");
  CHECK_EQ(MistakesOf(kControl + "max_open_files: many\n"), "max_open_files ");
  CHECK_EQ(MistakesOf(kControl + "max_open_files: 512\n"), "");
  CHECK_EQ(MistakesOf(With("[\"north\",\"south\"]", "{north: 1}")),
           "failure_domains ");
  CHECK_EQ(MistakesOf(kControl + "colour: red\n"), "colour ");
  CHECK_EQ(MistakesOf("- a list"), " ");
  CHECK_EQ(MistakesOf("{"), " ");
}

}  // namespace
}  // namespace flamingohollow
