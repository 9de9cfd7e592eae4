// Tests of the settings: each mistake is named with its line and key.

#include "flamingohollow/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingohollow {
namespace {

const char* const kEntry = R"(role: entry
name: entry-0
group: 1
region: nam-bo
failure_domain: saigon-a
data_folder: data/entry-0
trace_file: traces.jsonl
http: 127.0.0.1:8000
controls: [127.0.0.1:7000, 127.0.0.1:7001]
tokens:
  - {token_file: operator.token, role: operator, name: operator}
  - {token_file: acme.token, role: customer, name: acme}
limits:
  max_body_bytes: 4096
  max_connections: 10
  max_worker_connections: 6
  drain_ms: 500
)";

const char* const kControl = R"(role: control
name: control-0
region: nam-bo
failure_domain: saigon-a
data_folder: data/control-0
listen: 127.0.0.1:7000
voters:
  - {name: control-0, address: 127.0.0.1:7000, failure_domain: saigon-a}
)";

// The mistakes of `text`, each as "LINE KEY".
std::vector<std::string> Mistakes(const std::string& text) {
  std::vector<std::string> found;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(ParseSettings(text, "f.yaml"));
        return {};
      },
      [&](const SettingsMistakes& mistakes) {
        for (const SettingsMistake& mistake : mistakes.mistakes_) {
          CHECK(mistake.file_ == "f.yaml");
          CHECK_FALSE(mistake.message_.empty());
          found.push_back(std::to_string(mistake.line_) + " " + mistake.key_);
        }
      },
      [] { FAIL("another error than SettingsMistakes"); });
  return found;
}

// `text` with the first `from` replaced by `to`.
std::string Edited(std::string text, const std::string& from,
                   const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

using Lines = std::vector<std::string>;

TEST_CASE("good settings are read whole") {
  const auto entry = ParseSettings(kEntry, "f.yaml");
  REQUIRE(entry);
  CHECK(entry->role_ == ProcessRole::kEntry);
  CHECK(entry->controls_.size() == 2);
  CHECK(entry->tokens_[1].role_ == TokenRole::kCustomer);
  CHECK(entry->tokens_[1].name_ == "acme");
  CHECK(entry->limits_.max_connections_ == 10);
  CHECK(entry->limits_.drain_ == Duration(500));
  const auto control = ParseSettings(kControl, "f.yaml");
  REQUIRE(control);
  CHECK(control->voters_[0].failure_domain_ == FailureDomain("saigon-a"));
}

TEST_CASE("each mistake is named with line and key") {
  struct Case {
    std::string text_;
    Lines mistakes_;
  };
  const std::vector<Case> cases = {
      {Edited(kEntry, "role: entry", "role: boss"), {"1 role"}},
      {Edited(kEntry, "region: nam-bo", "regoin: nam-bo"),
       {"1 region", "4 regoin"}},
      {Edited(kEntry, "group: 1", "group: 2"), {"3 group"}},
      {Edited(kEntry, "group: 1", "name: other"), {"3 name"}},
      {Edited(kEntry, "name: entry-0", "name: entry 0"), {"2 name"}},
      {Edited(kEntry, "127.0.0.1:8000", "localhost"), {"8 http"}},
      {Edited(kEntry, "127.0.0.1:7001", "127.0.0.1:70010"), {"9 controls[1]"}},
      {Edited(kEntry, "127.0.0.1:7001", "127.0.0.1:7000"), {"9 controls[1]"}},
      {Edited(kEntry, "role: customer", "role: guest"), {"12 tokens[1].role"}},
      {Edited(kEntry, "token_file: acme.token, ", ""),
       {"12 tokens[1].token_file"}},
      {Edited(kEntry, "4096", "1"), {"14 limits.max_body_bytes"}},
      {Edited(kEntry, "connections: 6", "connections: 61"),
       {"16 limits.max_worker_connections"}},
      {Edited(kEntry, "500", "-1"), {"17 limits.drain_ms"}},
      {Edited(kEntry, "500", "5s"), {"17 limits.drain_ms"}},
      {Edited(kEntry, "http:", "listen:"), {"1 http", "8 listen"}},
      {Edited(kControl, "address: 127.0.0.1:7000", "address: x"),
       {"8 voters[0].address"}},
      {std::string(kControl) +
           "  - {name: b, address: 127.0.0.1:7001, failure_domain: d}\n",
       {"8 voters"}},
      {Edited(kControl, "voters:\n", "voters: 3\nname: [\n"), {"9 "}},
      {"", {"0 "}},
      {"- a\n", {"1 "}},
  };
  for (const Case& c : cases) {
    CAPTURE(c.text_);
    CHECK(Mistakes(c.text_) == c.mistakes_);
  }
}

TEST_CASE("all mistakes of a file are named at once") {
  std::string text = Edited(kEntry, "500", "x");
  text = Edited(text, "group: 1", "group: one");
  text = Edited(text, "127.0.0.1:8000", "8000");
  CHECK(Mistakes(text) == Lines{"3 group", "8 http", "17 limits.drain_ms"});
}

TEST_CASE("foreign bytes give mistakes or settings, never a crash") {
  rc::check([] {
    std::string text = *rc::gen::element(std::string(kEntry), kControl);
    const int edits = *rc::gen::inRange(1, 8);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::element('\t', '\n', ' ', ':', '-', '[', '{', '&',
                                   '*', '!', '\0', '\xff', '"', '1');
    }
    Mistakes(text);
  });
}

// The sample settings of one user, in order of their file names.
std::vector<Settings> Samples(const std::string& user) {
  std::vector<std::filesystem::path> files;
  for (const auto& file :
       std::filesystem::directory_iterator("examples/" + user)) {
    files.push_back(file.path());
  }
  std::sort(files.begin(), files.end());
  std::vector<Settings> samples;
  for (const auto& file : files) {
    CAPTURE(file.string());
    auto settings = LoadSettings(file.string());
    REQUIRE(settings);
    CHECK(file.stem().string() == settings->name_.value());
    samples.push_back(std::move(*settings));
  }
  return samples;
}

TEST_CASE("sample settings fit together, with no majority in one domain") {
  struct User {
    const char* name_;
    std::set<std::string> domains_;
    std::size_t entries_;
  };
  const std::vector<User> users = {
      {"sen-vang", {"saigon-a", "binh-duong", "can-tho"}, 8},
      {"saa-sahihi", {"kariakoo", "msasani", "ubungo", "kigamboni"}, 9}};
  for (const User& user : users) {
    CAPTURE(user.name_);
    const std::vector<Settings> samples = Samples(user.name_);
    std::vector<VoterSettings> voters;
    std::set<std::string> addresses;
    std::set<std::string> entry_domains;
    std::size_t entries = 0;
    for (const Settings& settings : samples) {
      const bool is_entry = settings.role_ == ProcessRole::kEntry;
      CHECK(addresses.insert(is_entry ? settings.http_ : settings.listen_)
                .second);
      if (is_entry) {
        ++entries;
        entry_domains.insert(settings.failure_domain_.value());
        // All entries together keep to a worker's 60 connections.
        CHECK(settings.limits_.max_worker_connections_ * user.entries_ <= 60);
      } else if (voters.empty()) {
        voters = settings.voters_;
      }
    }
    CHECK(entries == user.entries_);
    CHECK(entry_domains == user.domains_);
    REQUIRE(voters.size() == 5);
    std::map<std::string, std::size_t> by_domain;
    for (const VoterSettings& voter : voters) {
      ++by_domain[voter.failure_domain_.value()];
    }
    for (const auto& [domain, count] : by_domain) {
      CHECK(user.domains_.contains(domain));
      CHECK(2 * count < voters.size());
    }
    CHECK(by_domain.size() == user.domains_.size());
    // Each control process is one of the voters, and entries know them all.
    for (const Settings& settings : samples) {
      if (settings.role_ == ProcessRole::kEntry) {
        REQUIRE(settings.controls_.size() == voters.size());
        for (std::size_t i = 0; i < voters.size(); ++i) {
          CHECK(settings.controls_[i] == voters[i].address_);
        }
        continue;
      }
      const auto self = std::find_if(
          voters.begin(), voters.end(),
          [&](const auto& voter) { return voter.name_ == settings.name_; });
      REQUIRE(self != voters.end());
      CHECK(self->address_ == settings.listen_);
      CHECK(self->failure_domain_ == settings.failure_domain_);
      CHECK(settings.voters_.size() == voters.size());
    }
  }
}

}  // namespace
}  // namespace flamingohollow
