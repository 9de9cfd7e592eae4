// Looks each flag up and tries its value, as Abseil will.

#include "util/flags.h"

#include <absl/flags/reflection.h>
#include <fmt/format.h>

#include <string_view>

namespace flamingohollow {
namespace {

constexpr std::string_view kNegation = "no";

bool IsBoolean(const absl::CommandLineFlag& flag) {
  return flag.IsOfType<bool>();
}

std::optional<std::string> CheckValue(absl::CommandLineFlag& flag,
                                      std::string_view value) {
  std::string error;
  const std::string text(value);
  if (flag.ParseFrom(text, &error)) return std::nullopt;
  return fmt::format("--{}: \"{}\" is not a valid value {}",
                     std::string(flag.Name()), text, error);
}

// `name` without "--", `value` what stands behind "=", `next` the argument
// that follows; sets `took_next` when that is the value.
std::optional<std::string> CheckFlag(std::string_view name,
                                     std::optional<std::string_view> value,
                                     const char* next, bool& took_next) {
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(std::string(name));
  if (flag == nullptr && name.substr(0, kNegation.size()) == kNegation) {
    const std::string plain(name.substr(kNegation.size()));
    absl::CommandLineFlag* negated = absl::FindCommandLineFlag(plain);
    if (negated != nullptr && IsBoolean(*negated)) return std::nullopt;
  }
  if (flag == nullptr) return fmt::format("flag --{} does not exist", name);
  if (value) return CheckValue(*flag, *value);
  if (IsBoolean(*flag)) return std::nullopt;
  if (next == nullptr) return fmt::format("--{} has no value", name);
  took_next = true;
  return CheckValue(*flag, next);
}

}  // namespace

std::optional<std::string> FindFlagMistake(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    std::string_view argument = argv[i];
    if (argument == "--") return std::nullopt;
    if (argument.size() < 2 || argument.front() != '-') continue;
    argument.remove_prefix(argument[1] == '-' ? 2 : 1);
    std::optional<std::string_view> value;
    const std::size_t equals = argument.find('=');
    if (equals != std::string_view::npos) {
      value = argument.substr(equals + 1);
      argument = argument.substr(0, equals);
    }
    bool took_next = false;
    const char* next = i + 1 < argc ? argv[i + 1] : nullptr;
    if (auto mistake = CheckFlag(argument, value, next, took_next)) {
      return mistake;
    }
    if (took_next) ++i;
  }
  return std::nullopt;
}

}  // namespace flamingohollow
