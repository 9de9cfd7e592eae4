// Reads settings with yaml-cpp.
//
// Each key of a section is described by one KeyRule: its name and how its
// node is taken into the settings. A section is read by walking its nodes once
// and collecting mistakes, so that one run reports all of them.

#include "flamingohollow/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <sstream>

#include "util/address.h"

namespace flamingohollow {
namespace {

constexpr std::uint32_t kMinBodyBytes = 1024;
constexpr std::uint32_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t kMaxConnections = 65536;
constexpr std::uint32_t kMaxWorkerConnections = 60;
constexpr std::uint32_t kMaxDrainMs = 600000;
constexpr std::size_t kMaxVoters = 5;

// What is being checked, and every mistake found so far.
struct Check {
  std::string file_;
  std::vector<SettingsMistake> mistakes_;
};

int LineOf(const YAML::Mark& mark) {
  return mark.is_null() ? 0 : mark.line + 1;
}

void AddMistake(Check& check, const YAML::Node& node, const std::string& key,
                std::string message) {
  check.mistakes_.push_back(
      {check.file_, LineOf(node.Mark()), key, std::move(message)});
}

// How one key's node is taken; `key` is its full path.
struct KeyRule {
  std::string name_;
  bool required_ = false;
  std::function<void(Check& check, const YAML::Node& node,
                     const std::string& key)>
      take_;
};

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    if (!joined.empty()) joined += ", ";
    joined += word;
  }
  return joined;
}

std::string KeyPath(const std::string& section, const std::string& name) {
  return section.empty() ? name : section + "." + name;
}

// Reads one map: each known key by its rule, mistakes for unknown, repeated
// and missing ones.
void TakeSection(Check& check, const YAML::Node& node,
                 const std::string& section,
                 const std::vector<KeyRule>& rules) {
  if (!node.IsMap()) {
    AddMistake(check, node, section, "allowed: a map of keys");
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : node) {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    const std::string path = KeyPath(section, name);
    const auto rule =
        std::find_if(rules.begin(), rules.end(),
                     [&name](const KeyRule& r) { return r.name_ == name; });
    if (rule == rules.end()) {
      std::vector<std::string> names;
      names.reserve(rules.size());
      for (const KeyRule& known : rules) names.push_back(known.name_);
      AddMistake(check, entry.first, path,
                 "unknown key; allowed: " + Join(names));
    } else if (!seen.insert(name).second) {
      AddMistake(check, entry.first, path, "given twice; allowed: once");
    } else {
      rule->take_(check, entry.second, path);
    }
  }
  for (const KeyRule& rule : rules) {
    if (rule.required_ && !seen.contains(rule.name_)) {
      AddMistake(check, node, KeyPath(section, rule.name_),
                 "missing; it is required");
    }
  }
}

// The node's text; a mistake and an empty string when it has none.
std::string TakeScalar(Check& check, const YAML::Node& node,
                       const std::string& key, const std::string& allowed) {
  if (node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
  AddMistake(check, node, key, "allowed: " + allowed);
  return {};
}

bool IsName(const std::string& text) {
  constexpr std::size_t kMaxNameLength = 64;
  const auto is_name_char = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), is_name_char);
}

std::string TakeName(Check& check, const YAML::Node& node,
                     const std::string& key) {
  const std::string allowed = "1 to 64 letters, digits, \"-\", \"_\" or \".\"";
  std::string text = TakeScalar(check, node, key, allowed);
  if (!text.empty() && !IsName(text)) {
    AddMistake(check, node, key, "\"" + text + "\"; allowed: " + allowed);
  }
  return text;
}

std::string TakeAddress(Check& check, const YAML::Node& node,
                        const std::string& key) {
  const std::string allowed = "IP:PORT, such as 127.0.0.1:7000";
  std::string text = TakeScalar(check, node, key, allowed);
  if (!text.empty() && !ParseTcpAddress(text).has_value()) {
    AddMistake(check, node, key, "\"" + text + "\"; allowed: " + allowed);
  }
  return text;
}

std::uint32_t TakeNumber(Check& check, const YAML::Node& node,
                         const std::string& key, std::uint32_t low,
                         std::uint32_t high) {
  const std::string allowed = "a whole number from " + std::to_string(low) +
                              " to " + std::to_string(high);
  const std::string text = TakeScalar(check, node, key, allowed);
  if (text.empty()) return low;
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed != end || value < low || value > high) {
    AddMistake(check, node, key, "\"" + text + "\"; allowed: " + allowed);
    return low;
  }
  return value;
}

// Calls `take` for each element of a list.
template <typename Take>
void TakeList(Check& check, const YAML::Node& node, const std::string& key,
              const Take& take) {
  if (!node.IsSequence() || node.size() == 0) {
    AddMistake(check, node, key, "allowed: a list with at least one element");
    return;
  }
  for (std::size_t i = 0; i < node.size(); ++i) {
    take(node[i], key + "[" + std::to_string(i) + "]");
  }
}

KeyRule NameRule(const std::string& name,
                 std::function<void(const std::string&)> set) {
  return {name, true,
          [set = std::move(set)](Check& check, const YAML::Node& node,
                                 const std::string& key) {
            set(TakeName(check, node, key));
          }};
}

KeyRule AddressRule(const std::string& name, std::string* target) {
  return {
      name, true,
      [target](Check& check, const YAML::Node& node, const std::string& key) {
        *target = TakeAddress(check, node, key);
      }};
}

KeyRule NumberRule(const std::string& name, std::uint32_t low,
                   std::uint32_t high, std::function<void(std::uint32_t)> set) {
  return {name, false,
          [low, high, set = std::move(set)](
              Check& check, const YAML::Node& node, const std::string& key) {
            set(TakeNumber(check, node, key, low, high));
          }};
}

void TakeVoters(Check& check, const YAML::Node& node, const std::string& key,
                std::vector<VoterSettings>* voters) {
  TakeList(
      check, node, key, [&](const YAML::Node& item, const std::string& path) {
        VoterSettings voter;
        TakeSection(
            check, item, path,
            {NameRule("name",
                      [&](const std::string& v) { voter.name_ = NodeName(v); }),
             AddressRule("address", &voter.address_),
             NameRule("failure_domain", [&](const std::string& v) {
               voter.failure_domain_ = FailureDomain(v);
             })});
        const bool repeated =
            std::any_of(voters->begin(), voters->end(), [&](const auto& other) {
              return other.name_ == voter.name_ ||
                     other.address_ == voter.address_;
            });
        if (repeated) {
          AddMistake(check, item, path,
                     "name or address given twice; allowed: unique ones");
        }
        voters->push_back(voter);
      });
  if (node.IsSequence() &&
      (voters->size() > kMaxVoters || voters->size() % 2 == 0)) {
    AddMistake(check, node, key, "allowed: 1, 3 or 5 voters");
  }
}

void TakeTokenRole(Check& check, const YAML::Node& node, const std::string& key,
                   TokenRole* role) {
  const std::string allowed = "operator, worker or customer";
  const std::string text = TakeScalar(check, node, key, allowed);
  if (text == "operator") {
    *role = TokenRole::kOperator;
  } else if (text == "worker") {
    *role = TokenRole::kWorker;
  } else if (text == "customer") {
    *role = TokenRole::kCustomer;
  } else if (!text.empty()) {
    AddMistake(check, node, key, "\"" + text + "\"; allowed: " + allowed);
  }
}

KeyRule PathRule(const std::string& name, bool required, std::string* target) {
  return {
      name, required,
      [target](Check& check, const YAML::Node& node, const std::string& key) {
        *target = TakeScalar(check, node, key, "a path");
      }};
}

void TakeTokens(Check& check, const YAML::Node& node, const std::string& key,
                std::vector<TokenSettings>* tokens) {
  TakeList(
      check, node, key, [&](const YAML::Node& item, const std::string& path) {
        TokenSettings token;
        token.line_ = LineOf(item.Mark());
        const KeyRule role = {
            "role", true,
            [&token](Check& c, const YAML::Node& n, const std::string& k) {
              TakeTokenRole(c, n, k, &token.role_);
            }};
        TakeSection(
            check, item, path,
            {PathRule("token_file", true, &token.token_file_), role,
             NameRule("name", [&](const std::string& v) { token.name_ = v; })});
        tokens->push_back(token);
      });
}

void TakeLimits(Check& check, const YAML::Node& node, const std::string& key,
                LimitSettings* limits) {
  TakeSection(
      check, node, key,
      {NumberRule("max_body_bytes", kMinBodyBytes, kMaxBodyBytes,
                  [=](std::uint32_t v) { limits->max_body_bytes_ = v; }),
       NumberRule("max_connections", 1, kMaxConnections,
                  [=](std::uint32_t v) { limits->max_connections_ = v; }),
       NumberRule(
           "max_worker_connections", 1, kMaxWorkerConnections,
           [=](std::uint32_t v) { limits->max_worker_connections_ = v; }),
       NumberRule("drain_ms", 0, kMaxDrainMs,
                  [=](std::uint32_t v) { limits->drain_ = Duration(v); })});
}

void TakeControls(Check& check, const YAML::Node& node, const std::string& key,
                  std::vector<std::string>* controls) {
  TakeList(check, node, key,
           [&](const YAML::Node& item, const std::string& path) {
             const std::string address = TakeAddress(check, item, path);
             if (std::count(controls->begin(), controls->end(), address) > 0) {
               AddMistake(check, item, path,
                          "\"" + address + "\" given twice; allowed: once");
             }
             controls->push_back(address);
           });
}

std::vector<KeyRule> CommonRules(Settings* s) {
  return {
      {"role", true, [](Check&, const YAML::Node&, const std::string&) {}},
      NameRule("name", [s](const std::string& v) { s->name_ = NodeName(v); }),
      NumberRule("group", 1, 1,
                 [s](std::uint32_t v) { s->group_ = GroupId(v); }),
      NameRule("region", [s](const std::string& v) { s->region_ = Region(v); }),
      NameRule(
          "failure_domain",
          [s](const std::string& v) { s->failure_domain_ = FailureDomain(v); }),
      PathRule("data_folder", true, &s->data_folder_),
      {"trace_file", false,
       [s](Check& check, const YAML::Node& node, const std::string& key) {
         if (node.IsScalar()) {
           s->trace_file_ = node.Scalar();
         } else if (!node.IsNull()) {
           AddMistake(check, node, key, "allowed: a file name, or empty");
         }
       }}};
}

std::vector<KeyRule> ControlRules(Settings* s) {
  std::vector<KeyRule> rules = CommonRules(s);
  rules.push_back(AddressRule("listen", &s->listen_));
  rules.push_back(
      {"voters", true,
       [s](Check& check, const YAML::Node& node, const std::string& key) {
         TakeVoters(check, node, key, &s->voters_);
       }});
  return rules;
}

std::vector<KeyRule> EntryRules(Settings* s) {
  std::vector<KeyRule> rules = CommonRules(s);
  rules.push_back(AddressRule("http", &s->http_));
  rules.push_back(
      {"controls", true,
       [s](Check& check, const YAML::Node& node, const std::string& key) {
         TakeControls(check, node, key, &s->controls_);
       }});
  rules.push_back(
      {"tokens", true,
       [s](Check& check, const YAML::Node& node, const std::string& key) {
         TakeTokens(check, node, key, &s->tokens_);
       }});
  rules.push_back(
      {"limits", false,
       [s](Check& check, const YAML::Node& node, const std::string& key) {
         TakeLimits(check, node, key, &s->limits_);
       }});
  return rules;
}

void TakeSettings(Check& check, const YAML::Node& root, Settings* settings) {
  if (!root.IsMap()) {
    AddMistake(check, root, "", "allowed: a map of keys");
    return;
  }
  const YAML::Node role = root["role"];
  const std::string text =
      role.IsDefined() && role.IsScalar() ? role.Scalar() : "";
  if (text == "control") {
    settings->role_ = ProcessRole::kControl;
    TakeSection(check, root, "", ControlRules(settings));
  } else if (text == "entry") {
    settings->role_ = ProcessRole::kEntry;
    TakeSection(check, root, "", EntryRules(settings));
  } else {
    // Which other keys are allowed depends on the role.
    AddMistake(check, role.IsDefined() ? role : root, "role",
               "allowed: control or entry");
  }
}

// The whole file; false when it can't be read.
bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return false;
  text->assign(std::istreambuf_iterator<char>(stream), {});
  return !stream.bad();
}

std::string FirstLine(const std::string& text) {
  std::string line = text.substr(0, text.find('\n'));
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}

}  // namespace

std::string DescribeMistake(const SettingsMistake& mistake) {
  std::string text = mistake.file_ + ":";
  text += std::to_string(mistake.line_) + ": ";
  if (!mistake.key_.empty()) text += mistake.key_ + ": ";
  return text + mistake.message_;
}

boost::leaf::result<Settings> ParseSettings(std::string_view text,
                                            const std::string& file) {
  Check check{file, {}};
  Settings settings;
  try {
    // yaml-cpp reports by exception; none leaves this function.
    TakeSettings(check, YAML::Load(std::string(text)), &settings);
  } catch (const YAML::Exception& error) {
    check.mistakes_.push_back(
        {file, LineOf(error.mark), "", "not YAML: " + error.msg});
  }
  if (check.mistakes_.empty()) return settings;
  std::stable_sort(check.mistakes_.begin(), check.mistakes_.end(),
                   [](const SettingsMistake& a, const SettingsMistake& b) {
                     return a.line_ < b.line_;
                   });
  return boost::leaf::new_error(SettingsMistakes{std::move(check.mistakes_)});
}

boost::leaf::result<Settings> LoadSettings(const std::string& file) {
  std::string text;
  if (!ReadFile(file, &text)) {
    return boost::leaf::new_error(
        SettingsMistakes{{{file, 0, "", "can't be read"}}});
  }
  return ParseSettings(text, file);
}

boost::leaf::result<std::vector<LoadedToken>> LoadTokens(
    const Settings& settings, const std::string& file) {
  std::vector<LoadedToken> tokens;
  std::vector<SettingsMistake> mistakes;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < settings.tokens_.size(); ++i) {
    const TokenSettings& wanted = settings.tokens_[i];
    const std::string key = "tokens[" + std::to_string(i) + "].token_file";
    const auto add_mistake = [&](std::string message) {
      mistakes.push_back({file, wanted.line_, key, std::move(message)});
    };
    std::string text;
    if (!ReadFile(wanted.token_file_, &text)) {
      add_mistake("\"" + wanted.token_file_ +
                  "\" can't be read; allowed: a file with a token");
      continue;
    }
    const std::string token = FirstLine(text);
    if (token.size() < kMinTokenLength) {
      add_mistake(
          "\"" + wanted.token_file_ + "\" is too short; allowed: at least " +
          std::to_string(kMinTokenLength) + " characters in its first line");
    } else if (!seen.insert(token).second) {
      add_mistake("\"" + wanted.token_file_ +
                  "\" holds the same token as another file; allowed: a token "
                  "of its own");
    }
    tokens.push_back({token, wanted.role_, wanted.name_});
  }
  if (mistakes.empty()) return tokens;
  return boost::leaf::new_error(SettingsMistakes{std::move(mistakes)});
}

}  // namespace flamingohollow
