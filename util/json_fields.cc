// Typed access to the fields of a JSON object.

#include "util/json_fields.h"

#include <fmt/format.h>

#include <boost/json/value.hpp>
#include <charconv>
#include <utility>

namespace flamingohollow {
namespace json = boost::json;

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

bool JsonFields::Has(std::string_view name) const {
  return object_.contains(name);
}

void JsonFields::Fail(std::string message) {
  if (!mistake_) mistake_ = std::move(message);
}

const json::value* JsonFields::Find(std::string_view name, bool required) {
  known_.emplace(name);
  const json::value* value = object_.if_contains(name);
  if (value == nullptr && required) {
    Fail(fmt::format("field \"{}\" is missing", name));
  }
  return value;
}

std::string JsonFields::String(std::string_view name,
                               const std::optional<std::string>& standard) {
  const json::value* value = Find(name, !standard);
  if (value == nullptr) return standard.value_or("");
  if (const json::string* text = value->if_string()) {
    return {text->data(), text->size()};
  }
  Fail(fmt::format("field \"{}\" is not a string", name));
  return "";
}

bool JsonFields::Bool(std::string_view name, std::optional<bool> standard) {
  const json::value* value = Find(name, !standard);
  if (value == nullptr) return standard.value_or(false);
  if (const bool* flag = value->if_bool()) return *flag;
  Fail(fmt::format("field \"{}\" is not true or false", name));
  return false;
}

std::uint64_t JsonFields::Unsigned(std::string_view name,
                                   std::optional<std::uint64_t> standard) {
  const json::value* value = Find(name, !standard);
  if (value == nullptr) return standard.value_or(0);
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (!error) return number;
  Fail(fmt::format("field \"{}\" is not a whole number of 0 or more", name));
  return 0;
}

double JsonFields::Number(std::string_view name,
                          std::optional<double> standard) {
  const json::value* value = Find(name, !standard);
  if (value == nullptr) return standard.value_or(0);
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (!error) return number;
  Fail(fmt::format("field \"{}\" is not a number", name));
  return 0;
}

std::uint64_t JsonFields::Id(std::string_view name,
                             std::optional<std::uint64_t> standard) {
  const json::value* value = Find(name, !standard);
  if (value == nullptr) return standard.value_or(0);
  if (const json::string* text = value->if_string()) {
    const auto number = ParseUnsigned({text->data(), text->size()});
    if (number) return *number;
  }
  Fail(fmt::format("field \"{}\" is not a decimal number in a string", name));
  return 0;
}

const json::array& JsonFields::Array(std::string_view name) {
  static const json::array empty;
  const json::value* value = Find(name, false);
  if (value == nullptr) return empty;
  if (const json::array* array = value->if_array()) return *array;
  Fail(fmt::format("field \"{}\" is not a list", name));
  return empty;
}

std::optional<std::string> JsonFields::Finish() const {
  if (mistake_) return mistake_;
  for (const auto& field : object_) {
    const std::string_view name(field.key().data(), field.key().size());
    if (!known_.contains(name)) {
      return fmt::format("field \"{}\" is unknown", name);
    }
  }
  return std::nullopt;
}

}  // namespace flamingohollow
