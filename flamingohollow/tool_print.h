// How the command-line tool shows answers to people.

#ifndef FLAMINGOHOLLOW_TOOL_PRINT_H_
#define FLAMINGOHOLLOW_TOOL_PRINT_H_

#include <boost/json/object.hpp>
#include <string>

namespace flamingohollow {

// A JOB of docs/HTTP.md: a line of its state, then its parts, one a line.
std::string JobText(const boost::json::object& job);
// Any other object: "key: value" lines; a list of objects as a table with the
// keys of its first object as columns.
std::string ObjectText(const boost::json::object& object);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TOOL_PRINT_H_
