// Writes and parses the JSON between entries and workers.

#include "flamingohollow/worker_json.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <cstddef>
#include <utility>

#include "util/json_fields.h"

namespace flamingohollow {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::array<std::string_view, 6> kLeaseStates = {
    "prepared", "running", "finished", "failed", "stopped", "never_ran"};
constexpr std::array<std::string_view, 4> kCommandKinds = {"prepare", "start",
                                                           "stop", "release"};
constexpr std::array<std::string_view, 2> kWorkerStates = {"ready", "leaving"};

// The place of `name` in `names`; a mistake in `fields` when it has none.
template <typename Enum, std::size_t kSize>
Enum NamedField(JsonFields& fields, std::string_view field,
                const std::array<std::string_view, kSize>& names) {
  const std::string name = fields.String(field);
  for (std::size_t i = 0; i < kSize; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  fields.Fail(fmt::format("field \"{}\" can't be \"{}\"", field, name));
  return Enum{};
}

std::uint32_t Unsigned32(JsonFields& fields, std::string_view field,
                         std::optional<std::uint64_t> standard = {}) {
  const std::uint64_t number = fields.Unsigned(field, standard);
  if (number > UINT32_MAX) {
    fields.Fail(fmt::format("field \"{}\" is too large", field));
  }
  return static_cast<std::uint32_t>(number);
}

leaf::result<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return leaf::new_error(WorkerJsonError{"the body is not a JSON object"});
  }
  return std::move(value.as_object());
}

leaf::result<void> Finish(const JsonFields& fields) {
  if (auto mistake = fields.Finish()) {
    return leaf::new_error(WorkerJsonError{std::move(*mistake)});
  }
  return {};
}

json::object LeaseObject(const LeaseReport& lease) {
  return {{"job", fmt::to_string(lease.job_.value())},
          {"attempt", lease.attempt_.value()},
          {"task", lease.task_.value()},
          {"accelerators", lease.accelerators_.value()},
          {"state", LeaseStateName(lease.state_)},
          {"part", lease.part_}};
}

leaf::result<LeaseReport> ParseLease(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return leaf::new_error(
        WorkerJsonError{"field \"leases\" holds something but objects"});
  }
  JsonFields fields(*object);
  LeaseReport lease;
  lease.job_ = JobId(fields.Id("job"));
  lease.attempt_ = AttemptId(Unsigned32(fields, "attempt"));
  lease.task_ = TaskIndex(Unsigned32(fields, "task"));
  lease.accelerators_ = Accelerators(Unsigned32(fields, "accelerators"));
  lease.state_ = NamedField<LeaseState>(fields, "state", kLeaseStates);
  lease.part_ = fields.String("part", "");
  BOOST_LEAF_CHECK(Finish(fields));
  return lease;
}

void WriteWholeReport(const WorkerReport& report, json::object& object) {
  object["address"] = report.address_;
  object["region"] = report.place_.region_.value();
  object["failure_domain"] = report.place_.failure_domain_.value();
  object["rack"] = report.place_.rack_.value();
  object["accelerators"] = report.accelerators_.value();
  object["slots"] = report.slots_;
  object["connections"] = report.connections_;
  object["cores"] = report.cores_;
  object["memory_bytes"] = report.memory_bytes_;
  object["used_memory_bytes"] = report.used_memory_bytes_;
  object["state"] = kWorkerStates[static_cast<std::size_t>(report.state_)];
  json::array leases;
  for (const LeaseReport& lease : report.leases_) {
    leases.push_back(LeaseObject(lease));
  }
  object["leases"] = std::move(leases);
}

leaf::result<void> ParseWholeReport(JsonFields& fields, WorkerReport& report) {
  report.address_ = fields.String("address");
  report.place_.region_ = Region(fields.String("region"));
  report.place_.failure_domain_ =
      FailureDomain(fields.String("failure_domain"));
  report.place_.rack_ = Rack(fields.String("rack"));
  report.accelerators_ = Accelerators(Unsigned32(fields, "accelerators"));
  report.slots_ = Unsigned32(fields, "slots");
  report.connections_ = Unsigned32(fields, "connections");
  report.cores_ = Unsigned32(fields, "cores", 0);
  report.memory_bytes_ = fields.Unsigned("memory_bytes", 0);
  report.used_memory_bytes_ = fields.Unsigned("used_memory_bytes", 0);
  report.state_ = NamedField<WorkerState>(fields, "state", kWorkerStates);
  for (const json::value& value : fields.Array("leases")) {
    BOOST_LEAF_AUTO(lease, ParseLease(value));
    report.leases_.push_back(std::move(lease));
  }
  return {};
}

json::object CommandObject(const WorkerCommand& command) {
  return {{"kind", WorkerCommandName(command.kind_)},
          {"incarnation", fmt::to_string(command.incarnation_.value())},
          {"job", fmt::to_string(command.job_.value())},
          {"attempt", command.attempt_.value()},
          {"task", command.task_.value()},
          {"term", command.term_.value()},
          {"accelerators", command.accelerators_.value()},
          {"lease_ms", command.lease_.ms()},
          {"request_id", command.request_id_.value()},
          {"customer", command.customer_.value()},
          {"run_ms", command.run_time_.ms()}};
}

leaf::result<WorkerCommand> ParseCommand(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return leaf::new_error(
        WorkerJsonError{"field \"commands\" holds something but objects"});
  }
  JsonFields fields(*object);
  WorkerCommand command;
  command.kind_ = NamedField<WorkerCommandKind>(fields, "kind", kCommandKinds);
  command.incarnation_ = Incarnation(fields.Id("incarnation"));
  command.job_ = JobId(fields.Id("job"));
  command.attempt_ = AttemptId(Unsigned32(fields, "attempt"));
  command.task_ = TaskIndex(Unsigned32(fields, "task"));
  command.term_ = Term(fields.Unsigned("term"));
  command.accelerators_ = Accelerators(Unsigned32(fields, "accelerators"));
  command.lease_ = Duration(Unsigned32(fields, "lease_ms"));
  command.request_id_ = RequestId(fields.String("request_id"));
  command.customer_ = CustomerId(fields.String("customer"));
  command.run_time_ = Duration(Unsigned32(fields, "run_ms"));
  BOOST_LEAF_CHECK(Finish(fields));
  return command;
}

}  // namespace

std::string_view LeaseStateName(LeaseState state) {
  return kLeaseStates[static_cast<std::size_t>(state)];
}

std::string_view WorkerCommandName(WorkerCommandKind kind) {
  return kCommandKinds[static_cast<std::size_t>(kind)];
}

std::string WriteAnnouncement(const Announcement& announcement) {
  const WorkerReport& report = announcement.report_;
  json::object object = {
      {"worker", report.worker_.value()},
      {"incarnation", fmt::to_string(report.incarnation_.value())},
      {"sequence", report.sequence_}};
  if (announcement.whole_) WriteWholeReport(report, object);
  return json::serialize(object);
}

leaf::result<Announcement> ParseAnnouncement(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  JsonFields fields(object);
  Announcement announcement;
  WorkerReport& report = announcement.report_;
  report.worker_ = WorkerId(fields.String("worker"));
  report.incarnation_ = Incarnation(fields.Id("incarnation"));
  report.sequence_ = fields.Unsigned("sequence");
  announcement.whole_ = fields.Has("state");
  if (announcement.whole_) {
    BOOST_LEAF_CHECK(ParseWholeReport(fields, report));
  }
  BOOST_LEAF_CHECK(Finish(fields));
  return announcement;
}

std::string WriteAnnounceReply(const AnnounceReply& reply) {
  json::array excluded;
  for (const JobId job : reply.excluded_) {
    excluded.push_back(json::value(fmt::to_string(job.value())));
  }
  return json::serialize(
      json::object{{"known", reply.known_},
                   {"renew_ms", reply.renew_.ms()},
                   {"exclude", std::move(excluded)},
                   {"announce_ms", reply.announce_after_.ms()}});
}

leaf::result<AnnounceReply> ParseAnnounceReply(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  JsonFields fields(object);
  AnnounceReply reply;
  reply.known_ = fields.Bool("known");
  reply.renew_ = Duration(Unsigned32(fields, "renew_ms"));
  reply.announce_after_ = Duration(Unsigned32(fields, "announce_ms"));
  for (const json::value& value : fields.Array("exclude")) {
    const json::string* number = value.if_string();
    const auto job = number == nullptr
                         ? std::nullopt
                         : ParseUnsigned({number->data(), number->size()});
    if (!job) fields.Fail("field \"exclude\" holds something but job ids");
    reply.excluded_.push_back(JobId(job.value_or(0)));
  }
  BOOST_LEAF_CHECK(Finish(fields));
  return reply;
}

std::string WriteCommands(const std::vector<WorkerCommand>& commands) {
  json::array array;
  for (const WorkerCommand& command : commands) {
    array.push_back(CommandObject(command));
  }
  return json::serialize(json::object{{"commands", std::move(array)}});
}

leaf::result<std::vector<WorkerCommand>> ParseCommands(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  JsonFields fields(object);
  std::vector<WorkerCommand> commands;
  for (const json::value& value : fields.Array("commands")) {
    BOOST_LEAF_AUTO(command, ParseCommand(value));
    commands.push_back(std::move(command));
  }
  BOOST_LEAF_CHECK(Finish(fields));
  return commands;
}

}  // namespace flamingohollow
