// Small helpers over text.

#ifndef UTIL_TEXT_H_
#define UTIL_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

namespace flamingohollow {

// The non-empty pieces of `text` between `separator`s.
std::vector<std::string> SplitText(std::string_view text, char separator);

// The file's first line without its end; empty when it can't be read.
std::string ReadFirstLine(const std::string& path);

}  // namespace flamingohollow

#endif  // UTIL_TEXT_H_
