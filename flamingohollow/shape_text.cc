// Writes and reads shapes cell by cell.

#include "flamingohollow/shape_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>

namespace flamingohollow {
namespace {

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::optional<Cell> ParseCell(std::string_view text) {
  const std::size_t times = text.find('x');
  if (times == std::string_view::npos) return std::nullopt;
  const std::size_t at = text.find('@', times);
  if (at == std::string_view::npos) return std::nullopt;
  const auto count = ParseCount(text.substr(0, times));
  const auto each = ParseCount(text.substr(times + 1, at - times - 1));
  const auto adjacency = ParseAdjacency(text.substr(at + 1));
  if (!count || !each || !adjacency) return std::nullopt;
  return Cell{
      .count_ = *count,
      .accelerators_ = Accelerators(*each),
      .adjacency_ = *adjacency,
  };
}

}  // namespace

std::string FormatShape(const GuaranteedShape& shape) {
  std::string text;
  for (const Cell& cell : shape) {
    if (!text.empty()) text += '+';
    text += fmt::format("{}x{}@{}", cell.count_, cell.accelerators_.value(),
                        AdjacencyName(cell.adjacency_));
  }
  return text;
}

boost::leaf::result<GuaranteedShape> ParseShape(std::string_view text,
                                                std::string_view where) {
  GuaranteedShape shape;
  if (text.empty()) return shape;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find('+', begin), text.size());
    const std::string_view part = text.substr(begin, end - begin);
    const auto cell = ParseCell(part);
    if (!cell) {
      return boost::leaf::new_error(TableFormatError{fmt::format(
          "{}cell \"{}\" is not COUNTxACCELERATORS@ADJACENCY, with adjacency "
          "worker, rack, failure_domain or region",
          where, part)});
    }
    shape.push_back(*cell);
    begin = end + 1;
  }
  return shape;
}

}  // namespace flamingohollow
