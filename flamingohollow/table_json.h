// The customer table and its changes as JSON, as docs/HTTP.md shows them.
//
// Reading is strict: a field that is not known is refused by its name, and so
// is a missing one, since a row stands for the customer's whole truth.

#ifndef FLAMINGOHOLLOW_TABLE_JSON_H_
#define FLAMINGOHOLLOW_TABLE_JSON_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include "flamingohollow/shape_text.h"
#include "flamingohollow/table.h"

namespace flamingohollow {

boost::json::object RowToJson(const Row& row);
// `{"version": 3, "rows": [...]}`.
boost::json::object TableToJson(const Table& table);
// `{"changes": [...]}`, newest first.
boost::json::object HistoryToJson(const Table& table);

// A row without its version.
boost::json::object RowToChangeJson(const Row& row);
// The body of `POST /v1/table/changes`.
boost::json::object ChangeToJson(const TableChange& change, bool dry_run);

// What `POST /v1/table/changes` carries; the request id, the operator and the
// time are for the entry to fill in.
struct ChangeBody {
  TableChange change_;
  bool dry_run_ = false;
};
// Fails with TableFormatError that names row and column.
boost::leaf::result<ChangeBody> ChangeFromJson(const boost::json::value& value);
// The answer of `GET /v1/table`.
boost::leaf::result<Table> TableFromJson(const boost::json::value& value);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TABLE_JSON_H_
