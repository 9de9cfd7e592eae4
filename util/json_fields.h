// Reads the fields of a JSON object, refusing what is missing, of the wrong
// kind or unknown, by name.
//
//   JsonFields fields(object);
//   spec.urgent_ = fields.Bool("urgent", false);
//   spec.accelerators_ = fields.Unsigned("accelerators");
//   if (auto error = fields.Finish()) return new_error(*error);
//
// The first mistake is kept; later reads give default values.

#ifndef UTIL_JSON_FIELDS_H_
#define UTIL_JSON_FIELDS_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace flamingohollow {

class JsonFields {
 public:
  // `object` must outlive this.
  explicit JsonFields(const boost::json::object& object) : object_(object) {}

  bool Has(std::string_view name) const;

  // Without a default the field is required.
  std::string String(std::string_view name,
                     const std::optional<std::string>& standard = std::nullopt);
  bool Bool(std::string_view name, std::optional<bool> standard = std::nullopt);
  std::uint64_t Unsigned(std::string_view name,
                         std::optional<std::uint64_t> standard = std::nullopt);
  double Number(std::string_view name,
                std::optional<double> standard = std::nullopt);
  // A 64-bit number written as a decimal string.
  std::uint64_t Id(std::string_view name,
                   std::optional<std::uint64_t> standard = std::nullopt);
  // An absent list is empty.
  const boost::json::array& Array(std::string_view name);

  // The first mistake, or a field that nobody asked for.
  std::optional<std::string> Finish() const;
  // Records a mistake of the caller's own.
  void Fail(std::string message);

 private:
  // Marks `name` as known; null when absent. A missing required field is a
  // mistake.
  const boost::json::value* Find(std::string_view name, bool required);

  const boost::json::object& object_;
  std::set<std::string, std::less<>> known_;
  std::optional<std::string> mistake_;
};

// Parses a decimal number that fills the whole text.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

}  // namespace flamingohollow

#endif  // UTIL_JSON_FIELDS_H_
