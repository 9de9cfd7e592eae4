// Builds the JSON body of error responses.

#include "flamingohollow/http_types.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace flamingohollow {

HttpResponse ErrorResponse(unsigned status, std::string_view code,
                           std::string_view message, Duration retry_after) {
  boost::json::object body = {{"error", code}, {"message", message}};
  if (retry_after > Duration(0)) body["retry_after_ms"] = retry_after.ms();
  HttpResponse response;
  response.status_ = status;
  response.body_ = boost::json::serialize(body);
  response.retry_after_ = retry_after;
  return response;
}

}  // namespace flamingohollow
