// Reads table changes from JSON field by field, and writes tables as JSON.

#include "flamingohollow/table_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/leaf/error.hpp>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingohollow {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::error_id Fail(std::string message) {
  return leaf::new_error(TableFormatError{std::move(message)});
}

// Reads one object's fields by name. `where` opens each message: `row 2, `
// or nothing.
class FieldReader {
 public:
  FieldReader(const json::object& object, std::string where)
      : object_(object), where_(std::move(where)) {}

  leaf::error_id FailField(std::string_view name, std::string_view why) const {
    return Fail(FieldName(name).append(why));
  }

  leaf::result<const json::value*> Find(std::string_view name) const {
    const json::value* value = object_.if_contains(name);
    if (value == nullptr) return FailField(name, "is missing");
    return value;
  }

  leaf::result<std::string> Text(std::string_view name) const {
    BOOST_LEAF_AUTO(value, Find(name));
    if (!value->is_string()) return FailField(name, "is not a string");
    return std::string(value->get_string());
  }

  leaf::result<double> Number(std::string_view name) const {
    BOOST_LEAF_AUTO(value, Find(name));
    if (!value->is_number()) return FailField(name, "is not a number");
    return value->to_number<double>();
  }

  template <typename Integer>
  leaf::result<Integer> Whole(std::string_view name) const {
    BOOST_LEAF_AUTO(value, Find(name));
    json::error_code error;
    const Integer whole = value->to_number<Integer>(error);
    if (error) {
      return FailField(name, fmt::format("is not a whole number from 0 to {}",
                                         std::numeric_limits<Integer>::max()));
    }
    return whole;
  }

  leaf::result<GuaranteedShape> Shape(std::string_view name) const {
    BOOST_LEAF_AUTO(text, Text(name));
    return ParseShape(text, FieldName(name));
  }

  // Refuses fields other than `known`.
  leaf::result<void> CheckKnown(
      std::initializer_list<std::string_view> known) const {
    for (const auto& field : object_) {
      const std::string_view name = field.key();
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        return Fail(fmt::format("{}unknown field \"{}\"", where_, name));
      }
    }
    return {};
  }

 private:
  std::string FieldName(std::string_view name) const {
    const std::string_view kind = where_.empty() ? "field" : "column";
    return fmt::format("{}{} \"{}\": ", where_, kind, name);
  }

  const json::object& object_;
  std::string where_;
};

leaf::result<Row> ReadRow(const json::value& value, std::size_t position,
                          bool with_version) {
  if (!value.is_object()) {
    return Fail(fmt::format("row {} is not an object", position));
  }
  const FieldReader reader(value.get_object(),
                           fmt::format("row {}, ", position));
  if (with_version) {
    BOOST_LEAF_CHECK(
        reader.CheckKnown({"customer", "weight", "guaranteed", "max_borrowed",
                           "max_queued", "max_rate", "version"}));
  } else {
    BOOST_LEAF_CHECK(
        reader.CheckKnown({"customer", "weight", "guaranteed", "max_borrowed",
                           "max_queued", "max_rate"}));
  }
  Row row;
  BOOST_LEAF_AUTO(customer, reader.Text("customer"));
  row.customer_ = CustomerId(std::move(customer));
  BOOST_LEAF_ASSIGN(row.weight_, reader.Number("weight"));
  BOOST_LEAF_ASSIGN(row.guaranteed_, reader.Shape("guaranteed"));
  BOOST_LEAF_ASSIGN(row.max_borrowed_,
                    reader.Whole<std::uint32_t>("max_borrowed"));
  BOOST_LEAF_ASSIGN(row.max_queued_, reader.Whole<std::uint32_t>("max_queued"));
  BOOST_LEAF_ASSIGN(row.max_rate_, reader.Number("max_rate"));
  if (with_version) {
    BOOST_LEAF_AUTO(version, reader.Whole<std::uint64_t>("version"));
    row.version_ = TableVersion(version);
  }
  return row;
}

leaf::result<std::vector<Row>> ReadRows(const json::value& value,
                                        bool with_version) {
  if (!value.is_array()) return Fail("field \"rows\" is not an array");
  std::vector<Row> rows;
  for (const json::value& element : value.get_array()) {
    BOOST_LEAF_AUTO(row, ReadRow(element, rows.size() + 1, with_version));
    rows.push_back(std::move(row));
  }
  return rows;
}

leaf::result<std::vector<CustomerId>> ReadRemovals(const json::value& value) {
  if (!value.is_array()) return Fail("field \"remove\" is not an array");
  std::vector<CustomerId> removals;
  for (const json::value& element : value.get_array()) {
    if (!element.is_string()) {
      return Fail("field \"remove\" holds something other than a string");
    }
    removals.emplace_back(std::string(element.get_string()));
  }
  return removals;
}

json::object ChangeRecordToJson(const ChangeRecord& record) {
  json::array customers;
  for (const CustomerId& customer : record.changed_) {
    customers.emplace_back(customer.value());
  }
  return {{"version", record.result_.version_.value()},
          {"request_id", record.request_id_.value()},
          {"operator", record.operator_},
          {"at_ms", record.at_.ms()},
          {"customers", std::move(customers)}};
}

}  // namespace

json::object RowToChangeJson(const Row& row) {
  return {{"customer", row.customer_.value()},
          {"weight", row.weight_},
          {"guaranteed", FormatShape(row.guaranteed_)},
          {"max_borrowed", row.max_borrowed_},
          {"max_queued", row.max_queued_},
          {"max_rate", row.max_rate_}};
}

json::object RowToJson(const Row& row) {
  json::object object = RowToChangeJson(row);
  object["version"] = row.version_.value();
  return object;
}

json::object TableToJson(const Table& table) {
  json::array rows;
  for (const auto& [customer, row] : table.rows_) {
    rows.emplace_back(RowToJson(row));
  }
  return {{"version", table.version_.value()}, {"rows", std::move(rows)}};
}

json::object HistoryToJson(const Table& table) {
  json::array changes;
  for (auto record = table.history_.rbegin(); record != table.history_.rend();
       ++record) {
    changes.emplace_back(ChangeRecordToJson(*record));
  }
  return {{"changes", std::move(changes)}};
}

json::object ChangeToJson(const TableChange& change, bool dry_run) {
  json::array rows;
  for (const Row& row : change.upserts_) {
    rows.emplace_back(RowToChangeJson(row));
  }
  json::array removals;
  for (const CustomerId& customer : change.removals_) {
    removals.emplace_back(customer.value());
  }
  return {{"base_version", change.base_version_.value()},
          {"rows", std::move(rows)},
          {"remove", std::move(removals)},
          {"dry_run", dry_run}};
}

leaf::result<ChangeBody> ChangeFromJson(const json::value& value) {
  if (!value.is_object()) return Fail("the body is not an object");
  const json::object& object = value.get_object();
  const FieldReader reader(object, "");
  BOOST_LEAF_CHECK(
      reader.CheckKnown({"base_version", "rows", "remove", "dry_run"}));
  ChangeBody body;
  BOOST_LEAF_AUTO(base_version, reader.Whole<std::uint64_t>("base_version"));
  body.change_.base_version_ = TableVersion(base_version);
  if (const json::value* rows = object.if_contains("rows")) {
    BOOST_LEAF_ASSIGN(body.change_.upserts_, ReadRows(*rows, false));
  }
  if (const json::value* removals = object.if_contains("remove")) {
    BOOST_LEAF_ASSIGN(body.change_.removals_, ReadRemovals(*removals));
  }
  if (const json::value* dry_run = object.if_contains("dry_run")) {
    if (!dry_run->is_bool()) {
      return Fail("field \"dry_run\" is not true or false");
    }
    body.dry_run_ = dry_run->get_bool();
  }
  return body;
}

leaf::result<Table> TableFromJson(const json::value& value) {
  if (!value.is_object()) return Fail("the table is not an object");
  const FieldReader reader(value.get_object(), "");
  Table table;
  BOOST_LEAF_AUTO(version, reader.Whole<std::uint64_t>("version"));
  table.version_ = TableVersion(version);
  BOOST_LEAF_AUTO(rows_value, reader.Find("rows"));
  BOOST_LEAF_AUTO(rows, ReadRows(*rows_value, true));
  for (Row& row : rows) {
    const CustomerId customer = row.customer_;
    table.rows_.emplace(customer, std::move(row));
  }
  return table;
}

}  // namespace flamingohollow
