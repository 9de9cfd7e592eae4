// The customer table as CSV, the form that spreadsheets keep.
//
// The first line names the columns; they may stand in any order but must all
// be there:
//   customer,weight,guaranteed,max_borrowed,max_queued,max_rate
// Fields may be quoted as in RFC 4180, but not span lines.

#ifndef FLAMINGOHOLLOW_TABLE_CSV_H_
#define FLAMINGOHOLLOW_TABLE_CSV_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/shape_text.h"
#include "flamingohollow/table.h"

namespace flamingohollow {

// Rows in the order of their customers' names, after the header line.
std::string TableToCsv(const Table& table);

// Fails with TableFormatError: `row 3, column "weight": "x" is not a number`.
// Rows count as in a spreadsheet: the header is row 1.
boost::leaf::result<std::vector<Row>> RowsFromCsv(std::string_view text);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TABLE_CSV_H_
