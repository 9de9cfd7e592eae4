// Guaranteed shapes as text, the form in which people write them:
// "2x8@worker+1x16@rack" is two gangs of 8 accelerators, each on one worker,
// and one of 16 within one rack. An empty text is an empty shape.

#ifndef FLAMINGOHOLLOW_SHAPE_TEXT_H_
#define FLAMINGOHOLLOW_SHAPE_TEXT_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "flamingohollow/types.h"

namespace flamingohollow {

// Why a table, row or shape could not be read. `message_` says which row and
// column, as far as the reader knows them.
struct TableFormatError {
  std::string message_;
};

std::string FormatShape(const GuaranteedShape& shape);
// Fails with TableFormatError that names the cell, after `where`.
boost::leaf::result<GuaranteedShape> ParseShape(std::string_view text,
                                                std::string_view where = "");

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_SHAPE_TEXT_H_
