// The JSON form of a job that callers get; see docs/HTTP.md.

#ifndef FLAMINGOHOLLOW_JOB_JSON_H_
#define FLAMINGOHOLLOW_JOB_JSON_H_

#include <boost/json/object.hpp>

#include "flamingohollow/job.h"

namespace flamingohollow {

boost::json::object JobToJson(const JobView& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_JSON_H_
