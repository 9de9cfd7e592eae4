// Reads CSV line by line into rows, and writes rows as CSV.

#include "flamingohollow/table_csv.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::array<std::string_view, 6> kColumns = {
    "customer",     "weight",     "guaranteed",
    "max_borrowed", "max_queued", "max_rate"};

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

leaf::error_id Fail(std::string message) {
  return leaf::new_error(TableFormatError{std::move(message)});
}

std::string CellName(std::size_t row, std::string_view column) {
  return fmt::format("row {}, column \"{}\": ", row, column);
}

leaf::error_id FailCell(std::size_t row, std::string_view column,
                        std::string_view why) {
  return Fail(CellName(row, column).append(why));
}

// The fields of one line; none when a quote is not closed or not at the
// field's edge.
std::optional<std::vector<std::string>> SplitLine(std::string_view line) {
  std::vector<std::string> fields(1);
  bool quoted = false;
  bool was_quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (quoted) {
      if (c != '"') {
        fields.back() += c;
      } else if (i + 1 < line.size() && line[i + 1] == '"') {
        fields.back() += c;
        ++i;
      } else {
        quoted = false;
        was_quoted = true;
      }
    } else if (c == ',') {
      fields.emplace_back();
      was_quoted = false;
    } else if (c == '"' && fields.back().empty() && !was_quoted) {
      quoted = true;
    } else if (c == '"' || was_quoted) {
      return std::nullopt;
    } else {
      fields.back() += c;
    }
  }
  if (quoted) return std::nullopt;
  return fields;
}

// One line's fields by column, and where it stands.
struct Line {
  std::size_t row_ = 0;
  std::map<std::string_view, std::string> fields_;
};

template <typename Number>
leaf::result<Number> ReadNumber(const Line& line, std::string_view column,
                                std::string_view kind) {
  const std::string& text = line.fields_.at(column);
  Number value{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error == std::errc::result_out_of_range) {
    return FailCell(line.row_, column,
                    fmt::format("\"{}\" is out of range", text));
  }
  if (error != std::errc() || stop != end) {
    return FailCell(line.row_, column,
                    fmt::format("\"{}\" is not {}", text, kind));
  }
  return value;
}

leaf::result<Row> ReadRow(const Line& line) {
  Row row;
  row.customer_ = CustomerId(line.fields_.at("customer"));
  if (row.customer_.value().empty()) {
    return FailCell(line.row_, "customer", "must not be empty");
  }
  BOOST_LEAF_ASSIGN(row.weight_,
                    ReadNumber<double>(line, "weight", "a number"));
  BOOST_LEAF_ASSIGN(row.guaranteed_,
                    ParseShape(line.fields_.at("guaranteed"),
                               CellName(line.row_, "guaranteed")));
  BOOST_LEAF_ASSIGN(
      row.max_borrowed_,
      ReadNumber<std::uint32_t>(line, "max_borrowed", "a whole number"));
  BOOST_LEAF_ASSIGN(row.max_queued_, ReadNumber<std::uint32_t>(
                                         line, "max_queued", "a whole number"));
  BOOST_LEAF_ASSIGN(row.max_rate_,
                    ReadNumber<double>(line, "max_rate", "a number"));
  return row;
}

// Checks that the header names each column once.
leaf::result<void> CheckHeader(const std::vector<std::string>& header) {
  std::set<std::string_view> seen;
  for (const std::string& name : header) {
    const bool known =
        std::find(kColumns.begin(), kColumns.end(), name) != kColumns.end();
    if (!known) {
      return Fail(fmt::format("row 1: unknown column \"{}\"", name));
    }
    if (!seen.insert(name).second) {
      return Fail(fmt::format("row 1: column \"{}\" stands twice", name));
    }
  }
  for (const std::string_view column : kColumns) {
    if (!seen.contains(column)) {
      return Fail(fmt::format("row 1: column \"{}\" is missing", column));
    }
  }
  return {};
}

// Lines without their ends; rows count from 1, blank lines included.
std::vector<std::string_view> Lines(std::string_view text) {
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    lines.push_back(line);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

leaf::result<std::vector<std::string>> ReadFields(std::string_view line,
                                                  std::size_t row) {
  auto fields = SplitLine(line);
  if (!fields) return Fail(fmt::format("row {}: misplaced quote", row));
  return std::move(*fields);
}

std::string Quoted(const std::string& field) {
  if (field.find_first_of(",\"") == std::string::npos) return field;
  std::string quoted = "\"";
  for (const char c : field) {
    if (c == '"') quoted += '"';
    quoted += c;
  }
  quoted += '"';
  return quoted;
}

}  // namespace

std::string TableToCsv(const Table& table) {
  std::string csv = fmt::format("{}\n", fmt::join(kColumns, ","));
  for (const auto& [customer, row] : table.rows_) {
    csv += fmt::format("{},{},{},{},{},{}\n", Quoted(customer.value()),
                       row.weight_, FormatShape(row.guaranteed_),
                       row.max_borrowed_, row.max_queued_, row.max_rate_);
  }
  return csv;
}

leaf::result<std::vector<Row>> RowsFromCsv(std::string_view text) {
  const std::vector<std::string_view> lines = Lines(text);
  if (lines.empty()) return Fail("the file is empty");
  BOOST_LEAF_AUTO(header, ReadFields(lines[0], 1));
  BOOST_LEAF_CHECK(CheckHeader(header));

  std::vector<Row> rows;
  std::map<CustomerId, std::size_t> row_of;
  for (std::size_t i = 1; i < lines.size(); ++i) {
    if (lines[i].empty()) continue;
    Line line{.row_ = i + 1, .fields_ = {}};
    BOOST_LEAF_AUTO(fields, ReadFields(lines[i], line.row_));
    if (fields.size() != header.size()) {
      return Fail(fmt::format("row {}: {} fields, but the header names {}",
                              line.row_, fields.size(), header.size()));
    }
    for (std::size_t f = 0; f < fields.size(); ++f) {
      line.fields_[header[f]] = std::move(fields[f]);
    }
    BOOST_LEAF_AUTO(row, ReadRow(line));
    const auto [first, added] = row_of.emplace(row.customer_, line.row_);
    if (!added) {
      return FailCell(line.row_, "customer",
                      fmt::format("\"{}\" stands in row {} already",
                                  row.customer_.value(), first->second));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace flamingohollow
