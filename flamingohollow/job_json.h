// A job as callers see it in JSON, as docs/HTTP.md shows it.

#ifndef FLAMINGOHOLLOW_JOB_JSON_H_
#define FLAMINGOHOLLOW_JOB_JSON_H_

#include <boost/json/object.hpp>

#include "flamingohollow/job.h"

namespace flamingohollow {

boost::json::object JobToJson(const JobView& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_JSON_H_
