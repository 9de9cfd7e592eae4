// The settings of one process: one YAML file, docs/SETTINGS.md.
//
// A file is checked wholly before anything starts. Every mistake is reported,
// not only the first, each with file, line, key and what is allowed; a key
// that is not known is a mistake.

#ifndef FLAMINGOHOLLOW_SETTINGS_H_
#define FLAMINGOHOLLOW_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

enum class ProcessRole : std::uint8_t { kControl, kEntry };

// Who a token stands for.
enum class TokenRole : std::uint8_t { kOperator, kWorker, kCustomer };

struct VoterSettings {
  NodeName name_;
  // "HOST:PORT" of its RPC server.
  std::string address_;
  FailureDomain failure_domain_;
};

struct TokenSettings {
  // The file's first line is the token.
  std::string token_file_;
  TokenRole role_ = TokenRole::kCustomer;
  // The customer's id for kCustomer; otherwise a name for the history.
  std::string name_;
  // Line of the settings file, for later mistakes about the token's file.
  int line_ = 0;
};

struct LimitSettings {
  std::uint32_t max_body_bytes_ = 1024 * 1024;
  std::uint32_t max_connections_ = 1024;
  std::uint32_t max_worker_connections_ = 60;
  Duration drain_ = Duration(10000);
};

struct Settings {
  ProcessRole role_ = ProcessRole::kEntry;
  NodeName name_;
  GroupId group_ = GroupId(1);
  Region region_;
  FailureDomain failure_domain_;
  std::string data_folder_;
  // Under data_folder_; empty for no spans.
  std::string trace_file_;

  // Role control.
  std::string listen_;
  std::vector<VoterSettings> voters_;

  // Role entry.
  std::string http_;
  std::vector<std::string> controls_;
  std::vector<TokenSettings> tokens_;
  LimitSettings limits_;
};

struct SettingsMistake {
  std::string file_;
  // From 1; 0 where the whole file is meant.
  int line_ = 0;
  // The path of the key, such as "limits.drain_ms" or "voters[1].name".
  std::string key_;
  // What is wrong and what is allowed.
  std::string message_;
};

// The error of this layer; never empty.
struct SettingsMistakes {
  std::vector<SettingsMistake> mistakes_;
};

// "FILE:LINE: KEY: MESSAGE".
std::string DescribeMistake(const SettingsMistake& mistake);

// Reads settings from text; `file` is the name used in mistakes. Fails with
// SettingsMistakes.
boost::leaf::result<Settings> ParseSettings(std::string_view text,
                                            const std::string& file);
// As ParseSettings, from a file.
boost::leaf::result<Settings> LoadSettings(const std::string& file);

// A token as read from its file, with the identity that it stands for.
struct LoadedToken {
  std::string token_;
  TokenRole role_ = TokenRole::kCustomer;
  std::string name_;
};

// Reads the tokens' files. A missing, empty or short token is a mistake of
// the settings file; so are two equal ones. Fails with SettingsMistakes.
boost::leaf::result<std::vector<LoadedToken>> LoadTokens(
    const Settings& settings, const std::string& file);

// A token has at least this many characters.
inline constexpr std::size_t kMinTokenLength = 16;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_SETTINGS_H_
