// Checks a command line before Abseil parses it.
//
// Abseil ends the process with exit code 1 on an unknown flag or a bad value;
// our programs promise exit code 2 for a usage mistake.

#ifndef UTIL_FLAGS_H_
#define UTIL_FLAGS_H_

#include <optional>
#include <string>

namespace flamingohollow {

// The first mistake of the flags among `argv`, or nothing.
std::optional<std::string> FindFlagMistake(int argc, char** argv);

}  // namespace flamingohollow

#endif  // UTIL_FLAGS_H_
