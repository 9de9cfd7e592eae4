// A table of routes: the method, the path and how to parse the rest of each.

#include "flamingohollow/request_parse.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "flamingohollow/table_json.h"

namespace flamingohollow {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t kMaxJsonDepth = 8;
constexpr std::size_t kMaxNameLength = 128;
constexpr std::int64_t kMaxMs = 30LL * 24 * 3600 * 1000;
constexpr std::uint32_t kMaxAccelerators = 1000000;

leaf::error_id Invalid(std::string message) {
  return leaf::new_error(
      RequestError{RequestErrorKind::kInvalid, std::move(message)});
}

leaf::error_id NotFound() {
  return leaf::new_error(
      RequestError{RequestErrorKind::kNotFound, "no such path"});
}

leaf::error_id InvalidField(std::string_view name, std::string_view allowed) {
  return Invalid("field \"" + std::string(name) +
                 "\"; allowed: " + std::string(allowed));
}

leaf::result<json::value> ParseJson(const std::string& text) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::error_code error;
  json::value value = json::parse(text, error, {}, options);
  if (error) return Invalid("the body is not JSON: " + error.message());
  if (!value.is_object()) return Invalid("the body is not a JSON object");
  return value;
}

leaf::result<void> CheckFieldNames(
    const json::object& object, std::initializer_list<std::string_view> known) {
  for (const auto& field : object) {
    const std::string_view name = field.key();
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      return Invalid("unknown field \"" + std::string(name) + "\"");
    }
  }
  return {};
}

// Each ParseOptional function leaves `target` unchanged when the field is
// absent.
leaf::result<void> ParseOptionalFlag(const json::object& object,
                                     std::string_view name, bool* target) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return {};
  if (!value->is_bool()) return InvalidField(name, "true or false");
  *target = value->get_bool();
  return {};
}

leaf::result<void> ParseOptionalDuration(const json::object& object,
                                         std::string_view name,
                                         Duration* target) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return {};
  json::error_code error;
  const auto ms = value->to_number<std::int64_t>(error);
  if (error || ms < 0 || ms > kMaxMs) {
    return InvalidField(name,
                        "milliseconds from 0 to " + std::to_string(kMaxMs));
  }
  *target = Duration(ms);
  return {};
}

leaf::result<std::string> RequiredName(const json::object& object,
                                       std::string_view name) {
  const json::value* value = object.if_contains(name);
  const std::string allowed =
      "a string of 1 to " + std::to_string(kMaxNameLength) + " characters";
  if (value == nullptr || !value->is_string()) {
    return InvalidField(name, allowed);
  }
  const json::string& text = value->get_string();
  if (text.empty() || text.size() > kMaxNameLength) {
    return InvalidField(name, allowed);
  }
  return std::string(text);
}

leaf::result<Accelerators> RequiredAccelerators(const json::object& object) {
  constexpr std::string_view kName = "accelerators";
  const json::value* value = object.if_contains(kName);
  json::error_code error;
  const std::uint32_t count =
      value == nullptr ? 0 : value->to_number<std::uint32_t>(error);
  if (error || count == 0 || count > kMaxAccelerators) {
    return InvalidField(
        kName, "a whole number from 1 to " + std::to_string(kMaxAccelerators));
  }
  return Accelerators(count);
}

leaf::result<void> ParseOptionalAdjacency(const json::object& object,
                                          Adjacency* target) {
  constexpr std::string_view kName = "adjacency";
  const json::value* value = object.if_contains(kName);
  if (value == nullptr) return {};
  std::optional<Adjacency> adjacency;
  if (value->is_string()) adjacency = ParseAdjacency(value->get_string());
  if (!adjacency.has_value()) {
    return InvalidField(kName, "worker, rack, failure_domain or region");
  }
  *target = *adjacency;
  return {};
}

leaf::result<RequestId> RequiredRequestId(const HttpRequest& request) {
  const std::string& id = request.idempotency_key_;
  const bool printable = std::all_of(
      id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  if (id.empty() || id.size() > kMaxRequestIdLength || !printable) {
    return Invalid("header \"Idempotency-Key\"; allowed: 1 to " +
                   std::to_string(kMaxRequestIdLength) +
                   " printable characters without spaces");
  }
  return RequestId(id);
}

leaf::result<void> ParseSubmit(const HttpRequest& request, CallRequest* call) {
  JobSpec& spec = call->spec_;
  BOOST_LEAF_ASSIGN(spec.request_id_, RequiredRequestId(request));
  BOOST_LEAF_AUTO(body, ParseJson(request.body_));
  const json::object& object = body.get_object();
  BOOST_LEAF_CHECK(CheckFieldNames(
      object, {"customer", "accelerators", "adjacency", "urgent", "idempotent",
               "reclaimable", "run_ms", "deadline_ms"}));
  BOOST_LEAF_AUTO(customer, RequiredName(object, "customer"));
  spec.customer_ = CustomerId(std::move(customer));
  BOOST_LEAF_ASSIGN(spec.accelerators_, RequiredAccelerators(object));
  BOOST_LEAF_CHECK(ParseOptionalAdjacency(object, &spec.adjacency_));
  BOOST_LEAF_CHECK(ParseOptionalFlag(object, "urgent", &spec.urgent_));
  BOOST_LEAF_CHECK(ParseOptionalFlag(object, "idempotent", &spec.idempotent_));
  BOOST_LEAF_CHECK(
      ParseOptionalFlag(object, "reclaimable", &spec.reclaimable_));
  BOOST_LEAF_CHECK(ParseOptionalDuration(object, "run_ms", &spec.run_time_));
  BOOST_LEAF_CHECK(
      ParseOptionalDuration(object, "deadline_ms", &spec.deadline_));
  return {};
}

leaf::result<void> ParseTableChange(const HttpRequest& request,
                                    CallRequest* call) {
  BOOST_LEAF_AUTO(request_id, RequiredRequestId(request));
  BOOST_LEAF_AUTO(value, ParseJson(request.body_));
  BOOST_LEAF_AUTO(
      body, leaf::try_handle_some(
                [&] { return ChangeFromJson(value); },
                [](const TableFormatError& error) -> leaf::result<ChangeBody> {
                  return Invalid(error.message_);
                }));
  call->change_ = std::move(body.change_);
  call->change_.request_id_ = std::move(request_id);
  call->dry_run_ = body.dry_run_;
  return {};
}

leaf::result<void> ParseVoterAdd(const HttpRequest& request,
                                 CallRequest* call) {
  BOOST_LEAF_AUTO(body, ParseJson(request.body_));
  const json::object& object = body.get_object();
  BOOST_LEAF_CHECK(CheckFieldNames(object, {"name", "address"}));
  BOOST_LEAF_AUTO(name, RequiredName(object, "name"));
  BOOST_LEAF_ASSIGN(call->address_, RequiredName(object, "address"));
  call->voter_ = NodeName(std::move(name));
  return {};
}

// The last part of a path such as /v1/jobs/17.
leaf::result<void> ParseJobId(const std::string& text, CallRequest* call) {
  std::uint64_t id = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, id);
  if (error != std::errc() || parsed != end || id == 0) {
    return Invalid("job id \"" + text + "\"; allowed: a whole number above 0");
  }
  call->job_ = JobId(id);
  return {};
}

struct Target {
  std::vector<std::string> path_;
  Duration wait_;
};

leaf::result<Duration> ParseWait(const std::string& text) {
  std::int64_t ms = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, ms);
  if (error != std::errc() || parsed != end || ms < 0 || ms > kMaxWait.ms()) {
    return Invalid("parameter \"wait_ms\"; allowed: 0 to " +
                   std::to_string(kMaxWait.ms()));
  }
  return Duration(ms);
}

leaf::result<Target> ParseTarget(const std::string& text, bool may_wait) {
  const auto url = boost::urls::parse_origin_form(text);
  if (!url) return NotFound();
  Target target;
  for (const auto segment : url->segments()) {
    target.path_.emplace_back(segment.begin(), segment.end());
  }
  for (const auto param : url->params()) {
    if (!may_wait || param.key != "wait_ms") {
      return Invalid("unknown parameter \"" + std::string(param.key) + "\"");
    }
    BOOST_LEAF_ASSIGN(target.wait_, ParseWait(std::string(param.value)));
  }
  return target;
}

// How the parts of the request other than the path are parsed.
enum class RouteBody : std::uint8_t { kNone, kSubmit, kTableChange, kVoter };

struct Route {
  std::string_view method_;
  // Segments joined by "/"; a last "*" stands for an id or a name.
  std::string_view path_;
  RouteKind kind_;
  CallKind call_;
  RouteBody body_ = RouteBody::kNone;
  bool may_wait_ = false;
};

constexpr Route kRoutes[] = {
    {"POST", "v1/workers/announce", RouteKind::kAnnounce, CallKind::kStatus},
    {"POST", "v1/jobs", RouteKind::kCall, CallKind::kSubmit, RouteBody::kSubmit,
     true},
    {"GET", "v1/jobs/*", RouteKind::kCall, CallKind::kJobShow, RouteBody::kNone,
     true},
    {"DELETE", "v1/jobs/*", RouteKind::kCall, CallKind::kJobCancel},
    {"GET", "v1/jobs", RouteKind::kCall, CallKind::kJobList},
    {"GET", "v1/table", RouteKind::kCall, CallKind::kTableShow},
    {"GET", "v1/table/status", RouteKind::kCall, CallKind::kTableStatus},
    {"GET", "v1/table/history", RouteKind::kCall, CallKind::kTableHistory},
    {"POST", "v1/table/changes", RouteKind::kCall, CallKind::kTableApply,
     RouteBody::kTableChange},
    {"GET", "v1/workers", RouteKind::kCall, CallKind::kWorkers},
    {"GET", "v1/status", RouteKind::kCall, CallKind::kStatus},
    {"POST", "v1/init", RouteKind::kCall, CallKind::kInit},
    {"POST", "v1/voters", RouteKind::kCall, CallKind::kVoterAdd,
     RouteBody::kVoter},
    {"DELETE", "v1/voters/*", RouteKind::kCall, CallKind::kVoterRemove},
    {"GET", "v1/evacuations", RouteKind::kCall, CallKind::kEvacuations},
    {"POST", "v1/evacuations/*", RouteKind::kCall, CallKind::kEvacuate},
    {"DELETE", "v1/evacuations/*", RouteKind::kCall, CallKind::kTakeBack},
    {"GET", "metrics", RouteKind::kMetrics, CallKind::kStatus},
    {"GET", "healthz", RouteKind::kHealth, CallKind::kStatus},
    {"GET", "readyz", RouteKind::kReady, CallKind::kStatus},
};

bool MatchesPath(const Route& route, const std::vector<std::string>& path) {
  std::string_view rest = route.path_;
  for (const std::string& segment : path) {
    const std::string_view expected = rest.substr(0, rest.find('/'));
    if (expected.empty()) return false;
    if (expected == "*" ? segment.empty() : expected != segment) return false;
    rest.remove_prefix(std::min(expected.size() + 1, rest.size()));
  }
  return rest.empty();
}

leaf::result<void> ParseBody(const Route& route, const HttpRequest& request,
                             CallRequest* call) {
  switch (route.body_) {
    case RouteBody::kSubmit:
      return ParseSubmit(request, call);
    case RouteBody::kTableChange:
      return ParseTableChange(request, call);
    case RouteBody::kVoter:
      return ParseVoterAdd(request, call);
    case RouteBody::kNone:
      return {};
  }
  return {};
}

leaf::result<ParsedRequest> ParseRoute(const Route& route,
                                       const HttpRequest& request) {
  BOOST_LEAF_AUTO(target, ParseTarget(request.target_, route.may_wait_));
  ParsedRequest parsed;
  parsed.kind_ = route.kind_;
  parsed.wait_ = target.wait_;
  parsed.call_.kind_ = route.call_;
  const std::string& last = target.path_.back();
  if (route.call_ == CallKind::kVoterRemove) {
    parsed.call_.voter_ = NodeName(last);
  } else if (route.call_ == CallKind::kEvacuate ||
             route.call_ == CallKind::kTakeBack) {
    parsed.call_.domain_ = FailureDomain(last);
  } else if (route.path_.ends_with("*")) {
    BOOST_LEAF_CHECK(ParseJobId(last, &parsed.call_));
  }
  BOOST_LEAF_CHECK(ParseBody(route, request, &parsed.call_));
  return parsed;
}

std::string_view PathOf(const HttpRequest& request) {
  return std::string_view(request.target_).substr(0, request.target_.find('?'));
}

}  // namespace

bool IsPublic(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  return request.method_ == "GET" &&
         (path == "/metrics" || path == "/healthz" || path == "/readyz");
}

leaf::result<ParsedRequest> ParseRequest(const HttpRequest& request) {
  const auto url = boost::urls::parse_origin_form(request.target_);
  if (!url) return NotFound();
  std::vector<std::string> path;
  for (const auto segment : url->segments()) {
    path.emplace_back(segment.begin(), segment.end());
  }
  bool path_known = false;
  for (const Route& route : kRoutes) {
    if (!MatchesPath(route, path)) continue;
    path_known = true;
    if (route.method_ == request.method_) return ParseRoute(route, request);
  }
  if (!path_known) return NotFound();
  return leaf::new_error(RequestError{
      RequestErrorKind::kMethod,
      "method \"" + request.method_ + "\" is not allowed on this path"});
}

}  // namespace flamingohollow
