// Small helpers over text.

#include "util/text.h"

#include <cstddef>
#include <fstream>

namespace flamingohollow {

std::vector<std::string> SplitText(std::string_view text, char separator) {
  std::vector<std::string> pieces;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    const std::string_view piece = text.substr(0, end);
    if (!piece.empty()) pieces.emplace_back(piece);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return pieces;
}

std::string ReadFirstLine(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

}  // namespace flamingohollow
