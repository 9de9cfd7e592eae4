// Reads the YAML map key by key and collects every mistake.

#include "flamingohollow/graph_settings.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <boost/leaf/error.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

#include "util/address.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

// Reads the keys of the file's top-level map and collects mistakes.
class Reader {
 public:
  Reader(const YAML::Node& root, std::string file)
      : root_(root), file_(std::move(file)) {}

  void Mistake(const std::string& key, int line, std::string message) {
    mistakes_.push_back({file_, line, key, std::move(message)});
  }

  template <class Value>
  void Read(const std::string& key, Value& value, const std::string& allowed) {
    known_[key] = true;
    const YAML::Node node = root_[key];
    if (!node.IsDefined() || node.IsNull()) return;
    try {
      value = node.as<Value>();
    } catch (const YAML::Exception&) {
      Mistake(key, LineOf(node), "must be " + allowed);
    }
  }

  void ReadMs(const std::string& key, Duration& value) {
    std::int64_t ms = value.ms();
    Read(key, ms, "a whole number of milliseconds");
    if (ms <= 0) Mistake(key, LineOf(root_[key]), "must be above 0");
    value = Duration(ms);
  }

  void ReadAddress(const std::string& key, std::string& value, bool required) {
    Read(key, value, "\"IP:PORT\"");
    if (value.empty()) {
      if (required) Mistake(key, 0, "is missing; must be \"IP:PORT\"");
      return;
    }
    if (!ParseTcpAddress(value).has_value()) {
      Mistake(key, LineOf(root_[key]), "must be \"IP:PORT\"");
    }
  }

  void Require(const std::string& key, bool present) {
    if (!present) Mistake(key, 0, "is missing");
  }

  int LineOf(const std::string& key) const { return LineOf(root_[key]); }

  // Adds a mistake for each unknown key and returns all mistakes.
  std::vector<SettingsMistake> Finish() {
    for (const auto& item : root_) {
      const std::string key = item.first.as<std::string>("");
      if (!known_[key]) Mistake(key, LineOf(item.first), "is not known");
    }
    return std::move(mistakes_);
  }

 private:
  static int LineOf(const YAML::Node& node) {
    return node.IsDefined() ? node.Mark().line + 1 : 0;
  }

  YAML::Node root_;
  std::string file_;
  std::map<std::string, bool> known_;
  std::vector<SettingsMistake> mistakes_;
};

void ReadRole(Reader& reader, GraphSettings& settings) {
  std::string role;
  reader.Read("role", role, "control or entry");
  if (role == "control") {
    settings.role_ = ProcessRole::kControl;
  } else if (role != "entry") {
    reader.Mistake("role", reader.LineOf("role"), "must be control or entry");
  }
}

void ReadNode(Reader& reader, GraphSettings& settings) {
  std::string name;
  std::string failure_domain;
  reader.Read("name", name, "text");
  reader.Read("failure_domain", failure_domain, "text");
  std::vector<std::string> failure_domains;
  reader.Read("failure_domains", failure_domains, "a list of names");
  for (const std::string& domain : failure_domains) {
    settings.failure_domains_.emplace_back(domain);
  }
  reader.Read("address", settings.address_, "an IP address");
  reader.Read("internal_port", settings.internal_port_, "1 to 65535");
  reader.Read("seeds", settings.seeds_, "a list of \"IP:PORT\"");
  reader.Require("name", !name.empty());
  reader.Require("address", !settings.address_.empty());
  reader.Require("internal_port", settings.internal_port_ > 0);
  settings.name_ = NodeName(name);
  settings.failure_domain_ = FailureDomain(failure_domain);
  for (const std::string& seed : settings.seeds_) {
    if (ParseTcpAddress(seed).has_value()) continue;
    reader.Mistake("seeds", reader.LineOf("seeds"),
                   seed + " is not an \"IP:PORT\"");
  }
}

void ReadRest(Reader& reader, GraphSettings& settings) {
  const bool control = settings.role_ == ProcessRole::kControl;
  reader.ReadAddress("http", settings.http_, true);
  reader.ReadAddress("readiness", settings.readiness_, !control);
  reader.ReadAddress("metrics", settings.metrics_, false);
  reader.ReadAddress("internal_listen", settings.internal_listen_, false);
  if (settings.internal_listen_.empty()) {
    settings.internal_listen_ = InternalAddress(settings);
  }
  reader.Read("data_folder", settings.data_folder_, "a path");
  reader.Read("first_start", settings.first_start_, "true or false");
  reader.Read("tolerated_losses", settings.tolerated_losses_, "0 to 3");
  reader.Read("remote_factor", settings.remote_factor_, "a whole number");
  reader.Read("memory_mb", settings.memory_mb_, "a whole number");
  reader.Read("max_open_files", settings.max_open_files_, "a whole number");
  constexpr std::uint32_t kMinOpenFiles = 512;
  if (settings.max_open_files_ < kMinOpenFiles) {
    reader.Mistake("max_open_files", reader.LineOf("max_open_files"),
                   "must be 512 or more");
  }
  reader.ReadMs("report_interval_ms", settings.report_interval_);
  reader.ReadMs("lease_ms", settings.lease_);
  reader.ReadMs("stop_grace_ms", settings.stop_grace_);
  reader.ReadMs("keep_ended_ms", settings.ended_job_retention_);
  if (control) reader.Require("data_folder", !settings.data_folder_.empty());
  constexpr std::uint32_t kMaxTolerated = 3;
  if (settings.tolerated_losses_ > kMaxTolerated) {
    reader.Mistake("tolerated_losses", reader.LineOf("tolerated_losses"),
                   "must be 0 to 3");
  }
}

leaf::error_id Fail(const std::string& file, int line, std::string message) {
  return leaf::new_error(SettingsMistakes{{{file, line, "", message}}});
}

}  // namespace

leaf::result<GraphSettings> ParseGraphSettings(std::string_view text,
                                               const std::string& file) {
  YAML::Node root;
  try {
    root = YAML::Load(std::string(text));
  } catch (const YAML::Exception& error) {
    return Fail(file, error.mark.line + 1, "is not valid YAML: " + error.msg);
  }
  if (!root.IsMap()) return Fail(file, 1, "must be a map of settings");
  Reader reader(root, file);
  GraphSettings settings;
  ReadRole(reader, settings);
  ReadNode(reader, settings);
  ReadRest(reader, settings);
  std::vector<SettingsMistake> mistakes = reader.Finish();
  if (!mistakes.empty()) {
    return leaf::new_error(SettingsMistakes{std::move(mistakes)});
  }
  return settings;
}

leaf::result<GraphSettings> LoadGraphSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) return Fail(file, 0, "can't be read");
  std::ostringstream text;
  text << in.rdbuf();
  return ParseGraphSettings(text.str(), file);
}

std::string InternalAddress(const GraphSettings& settings) {
  return fmt::format("{}:{}", settings.address_, settings.internal_port_);
}

std::uint64_t SharedMemory(const GraphSettings& settings) {
  constexpr std::uint64_t kParts = 8;
  return std::uint64_t{settings.memory_mb_} * 1024 * 1024 / kParts;
}

std::vector<std::string> SeedAddresses(const GraphSettings& settings) {
  std::vector<std::string> addresses;
  for (const std::string& seed : settings.seeds_) {
    const std::string host = seed.substr(0, seed.rfind(':'));
    addresses.push_back(fmt::format("{}:{}", host, settings.internal_port_));
  }
  return addresses;
}

}  // namespace flamingohollow
