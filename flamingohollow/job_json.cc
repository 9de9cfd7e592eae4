// The JSON form of a job: see job_json.h.

#include "flamingohollow/job_json.h"

#include <boost/json/array.hpp>
#include <string>
#include <utility>

namespace flamingohollow {

namespace json = boost::json;

json::object JobToJson(const JobView& job) {
  json::array workers;
  for (const Slice& slice : job.slices_) {
    workers.emplace_back(slice.worker_.value());
  }
  json::array parts;
  for (const std::string& part : job.parts_) parts.emplace_back(part);
  return {
      {"job", std::to_string(job.job_.value())},
      {"request_id", job.spec_.request_id_.value()},
      {"customer", job.spec_.customer_.value()},
      {"accelerators", job.spec_.accelerators_.value()},
      {"outcome", OutcomeName(job.outcome_)},
      {"reason", job.reason_},
      {"retry_after_ms", job.retry_after_.ms()},
      {"attempt", job.attempt_.value()},
      {"workers", std::move(workers)},
      {"parts", std::move(parts)},
  };
}

}  // namespace flamingohollow
