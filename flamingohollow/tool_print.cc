// Plain text from JSON answers.

#include "flamingohollow/tool_print.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

namespace flamingohollow {
namespace {

namespace json = boost::json;

std::string Scalar(const json::value& value) {
  if (const json::string* text = value.if_string()) {
    return {text->data(), text->size()};
  }
  return json::serialize(value);
}

std::string Field(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? "" : Scalar(*value);
}

// Rows of equal length as lines with aligned columns.
std::string AlignedText(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string ListText(const json::array& list) {
  const json::object* first = list.front().if_object();
  if (first == nullptr) return json::serialize(list) + "\n";
  std::vector<std::vector<std::string>> rows(1);
  for (const auto& field : *first) rows.front().emplace_back(field.key());
  for (const json::value& value : list) {
    std::vector<std::string> row;
    for (const std::string& column : rows.front()) {
      row.push_back(Field(value.as_object(), column));
    }
    rows.push_back(std::move(row));
  }
  return AlignedText(rows);
}

}  // namespace

std::string JobText(const json::object& job) {
  std::string text =
      fmt::format("job {} {}", Field(job, "job"), Field(job, "outcome"));
  const std::string reason = Field(job, "reason");
  if (!reason.empty()) text += ": " + reason;
  text += fmt::format("\nrequest_id {}\n", Field(job, "request_id"));
  const std::string retry_after = Field(job, "retry_after_ms");
  if (!retry_after.empty() && retry_after != "0") {
    text += fmt::format("come back in {} ms\n", retry_after);
  }
  const json::value* parts = job.if_contains("parts");
  if (parts == nullptr || !parts->is_array()) return text;
  std::size_t task = 0;
  for (const json::value& part : parts->as_array()) {
    text += fmt::format("part {}: {}\n", task++, Scalar(part));
  }
  return text;
}

std::string ObjectText(const json::object& object) {
  std::string text;
  for (const auto& field : object) {
    const json::array* list = field.value().if_array();
    if (list != nullptr && !list->empty()) {
      text += fmt::format("{}:\n{}", std::string_view(field.key()),
                          ListText(*list));
    } else {
      text += fmt::format("{}: {}\n", std::string_view(field.key()),
                          Scalar(field.value()));
    }
  }
  return text;
}

}  // namespace flamingohollow
