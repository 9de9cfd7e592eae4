// flamingohollow: the operators' and callers' command-line tool.
//
//   flamingohollow --servers=HOST:PORT,... [--json] COMMAND
//
// Talks HTTP (docs/HTTP.md) to any entry. Exit codes: 0 done, 1 a definite no,
// 2 usage or invalid input, 3 outcome unknown, 4 not now, come back later.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/random/random.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "flamingohollow/explain.h"
#include "flamingohollow/table_csv.h"
#include "flamingohollow/table_json.h"
#include "flamingohollow/tool_client.h"
#include "flamingohollow/tool_print.h"
#include "flamingohollow/types.h"
#include "util/clock.h"
#include "util/flags.h"
#include "util/json_fields.h"
#include "util/text.h"

ABSL_FLAG(std::string, servers, "127.0.0.1:8000",
          "the entries, HOST:PORT,HOST:PORT");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(std::string, token_file, "",
          "file with the token; else FLAMINGOHOLLOW_TOKEN");
ABSL_FLAG(std::int64_t, retry_ms, 5000,
          "for how long to try again while the system says \"not now\"");
ABSL_FLAG(std::string, request_id, "",
          "identifies the request over resends; made when empty");
ABSL_FLAG(std::string, format, "text", "table show: text or csv");
ABSL_FLAG(std::uint64_t, base_version, 0,
          "table apply: the version the change is based on; 0 for the present");
ABSL_FLAG(std::vector<std::string>, logs, {},
          "explain, delays: log files, FILE,FILE; standard input when empty");
ABSL_FLAG(bool, dry_run, false, "table apply: check, change nothing");
ABSL_FLAG(bool, end, false, "evacuate: take the failure domain back");
ABSL_FLAG(bool, list, false, "evacuate: list what is evacuated");
ABSL_FLAG(std::string, customer, "", "submit: whose job it is");
ABSL_FLAG(std::uint32_t, accelerators, 0, "submit: how many, together");
ABSL_FLAG(std::string, adjacency, "region",
          "submit: worker, rack, failure_domain or region");
ABSL_FLAG(bool, urgent, false, "submit: goes before other work");
ABSL_FLAG(bool, idempotent, false, "submit: may run more than once");
ABSL_FLAG(bool, reclaimable, false,
          "submit: may run beyond the guarantee and be stopped there");
ABSL_FLAG(std::uint32_t, run_ms, 1000, "submit: declared run time");
ABSL_FLAG(std::uint32_t, deadline_ms, 0,
          "submit: give up on it after so long in the queue; 0 for never");
ABSL_FLAG(bool, wait, false, "submit: wait for the whole answer");
ABSL_FLAG(std::int64_t, wait_ms, 600'000, "submit --wait: at most so long");

namespace flamingohollow {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

enum ExitCode : int {
  kDone = 0,
  kDefiniteNo = 1,
  kUsage = 2,
  kUnknownOutcome = 3,
  kNotNow = 4,
};

constexpr Duration kAnswerTimeout(10'000);
// One wait at an entry; a longer wait is made of several.
constexpr Duration kLongestSingleWait(15'000);
// Between two looks at a job that is waited for.
constexpr Duration kPollPause(200);

constexpr char kUsageText[] =
    "flamingohollow --servers=HOST:PORT,... [--json] COMMAND\n"
    "\n"
    "  init                    forms the cluster, once\n"
    "  table show              the table (--format=csv)\n"
    "  table apply FILE.csv    applies the rows as one change "
    "(--base_version,\n"
    "                          --request_id, --dry_run)\n"
    "  table status            who enforces which version\n"
    "  table history           who changed what, when\n"
    "  submit                  submits a job (--customer, --accelerators,\n"
    "                          --adjacency, --urgent, --idempotent, --run_ms,\n"
    "                          --request_id, --wait, ...)\n"
    "  job show ID             one job\n"
    "  job cancel ID           cancels it\n"
    "  jobs                    all jobs\n"
    "  workers                 all workers\n"
    "  status                  leader, voters, entries, guarantees\n"
    "  explain ID              the story of a job or request from log lines\n"
    "                          (--logs)\n"
    "  delays                  what became of all jobs and why, from log "
    "lines\n"
    "                          (--logs)\n"
    "  evacuate DOMAIN         starts no more work in a failure domain\n"
    "                          (--end DOMAIN takes it back, --list)\n"
    "  voter add NAME ADDRESS  adds a control process to the voters\n"
    "  voter remove NAME       removes one\n";

int Usage(const std::string& mistake) {
  fmt::print(stderr, "{}\n{}", mistake, kUsageText);
  return kUsage;
}

ToolConnection MakeConnection() {
  ToolConnection connection;
  connection.servers_ = SplitText(absl::GetFlag(FLAGS_servers), ',');
  connection.retry_time_ = Duration(absl::GetFlag(FLAGS_retry_ms));
  const std::string token_file = absl::GetFlag(FLAGS_token_file);
  const char* token = std::getenv("FLAMINGOHOLLOW_TOKEN");
  if (!token_file.empty()) {
    connection.token_ = ReadFirstLine(token_file);
  } else if (token != nullptr) {
    connection.token_ = token;
  }
  return connection;
}

std::string MakeRequestId() {
  absl::BitGen random;
  return fmt::format("{:016x}{:016x}", absl::Uniform<std::uint64_t>(random),
                     absl::Uniform<std::uint64_t>(random));
}

std::string RequestIdFlag() {
  const std::string given = absl::GetFlag(FLAGS_request_id);
  return given.empty() ? MakeRequestId() : given;
}

// Exit code that an answer's status asks for.
int StatusExitCode(const ToolAnswer& answer) {
  switch (answer.status_) {
    case 0:
      return answer.maybe_done_ ? kUnknownOutcome : kNotNow;
    case 200:
    case 201:
    case 202:
      return kDone;
    case 400:
    case 413:
    case 422:
      return kUsage;
    case 429:
      return kNotNow;
    case 503:
      return answer.maybe_done_ ? kUnknownOutcome : kNotNow;
    case 401:
    case 403:
    case 404:
    case 409:
      return kDefiniteNo;
    default:
      return kUnknownOutcome;
  }
}

json::object ParseAnswer(const ToolAnswer& answer) {
  if (answer.status_ == 0) {
    return {{"error", "no_answer"}, {"message", "no entry answered"}};
  }
  boost::system::error_code error;
  json::value value = json::parse(answer.body_, error);
  if (error || !value.is_object()) {
    return {{"error", "no_answer"}, {"message", "the answer is not JSON"}};
  }
  return std::move(value.as_object());
}

void Print(const json::object& object,
           std::string (*text)(const json::object&)) {
  if (absl::GetFlag(FLAGS_json)) {
    fmt::print("{}\n", json::serialize(object));
  } else {
    fmt::print("{}", text(object));
  }
}

// Asks, prints the answer and gives its exit code.
int AskAndPrint(const ToolRequest& request) {
  const ToolAnswer answer = Ask(MakeConnection(), request);
  Print(ParseAnswer(answer), ObjectText);
  return StatusExitCode(answer);
}

int Get(std::string target) {
  return AskAndPrint(
      {ToolMethod::kGet, std::move(target), "", "", kAnswerTimeout});
}

// --- The table.

// The present table, or the exit code of not getting it.
std::variant<Table, int> FetchTable() {
  const ToolAnswer answer =
      Ask(MakeConnection(),
          {ToolMethod::kGet, "/v1/table", "", "", kAnswerTimeout});
  const json::object object = ParseAnswer(answer);
  if (answer.status_ == 200) {
    auto table = TableFromJson(object);
    if (table) return std::move(*table);
  }
  Print(object, ObjectText);
  return StatusExitCode(answer);
}

int ShowTable() {
  const std::string format = absl::GetFlag(FLAGS_format);
  if (format == "text") return Get("/v1/table");
  if (format != "csv") {
    return Usage(fmt::format("--format \"{}\" is not text or csv", format));
  }
  const auto table = FetchTable();
  if (const int* exit_code = std::get_if<int>(&table)) return *exit_code;
  fmt::print("{}", TableToCsv(std::get<Table>(table)));
  return kDone;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// The file's rows, or the mistake in it.
std::variant<std::vector<Row>, std::string> ReadRows(const std::string& path) {
  using Result = std::variant<std::vector<Row>, std::string>;
  const auto text = ReadFile(path);
  if (!text) return fmt::format("file \"{}\" can't be read", path);
  return leaf::try_handle_all(
      [&]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(rows, RowsFromCsv(*text));
        return Result(std::move(rows));
      },
      [](const TableFormatError& error) { return Result(error.message_); },
      [] { return Result(std::string("not a CSV table")); });
}

int InvalidInput(const std::string& message) {
  const json::object object = {
      {"outcome", "invalid"}, {"error", "invalid"}, {"message", message}};
  Print(object, ObjectText);
  return kUsage;
}

int ApplyTable(const std::string& path) {
  auto rows = ReadRows(path);
  if (const auto* mistake = std::get_if<std::string>(&rows)) {
    return InvalidInput(*mistake);
  }
  TableChange change;
  change.request_id_ = RequestId(RequestIdFlag());
  change.base_version_ = TableVersion(absl::GetFlag(FLAGS_base_version));
  change.upserts_ = std::move(std::get<std::vector<Row>>(rows));
  if (change.base_version_ == TableVersion()) {
    const auto table = FetchTable();
    if (const int* exit_code = std::get_if<int>(&table)) return *exit_code;
    change.base_version_ = std::get<Table>(table).version_;
  }
  const bool dry_run = absl::GetFlag(FLAGS_dry_run);
  const ToolAnswer answer =
      Ask(MakeConnection(),
          {ToolMethod::kPost, "/v1/table/changes", change.request_id_.value(),
           json::serialize(ChangeToJson(change, dry_run)), kAnswerTimeout});
  json::object object = ParseAnswer(answer);
  object["request_id"] = change.request_id_.value();
  Print(object, ObjectText);
  return StatusExitCode(answer);
}

// --- Jobs.

json::object SubmitBody() {
  return {{"customer", absl::GetFlag(FLAGS_customer)},
          {"accelerators", absl::GetFlag(FLAGS_accelerators)},
          {"adjacency", absl::GetFlag(FLAGS_adjacency)},
          {"urgent", absl::GetFlag(FLAGS_urgent)},
          {"idempotent", absl::GetFlag(FLAGS_idempotent)},
          {"reclaimable", absl::GetFlag(FLAGS_reclaimable)},
          {"run_ms", absl::GetFlag(FLAGS_run_ms)},
          {"deadline_ms", absl::GetFlag(FLAGS_deadline_ms)}};
}

std::string OutcomeOf(const json::object& job) {
  const json::value* outcome = job.if_contains("outcome");
  if (outcome == nullptr || !outcome->is_string()) return "";
  return std::string(outcome->as_string());
}

// The exit code of a job that was waited for.
int OutcomeExitCode(const std::string& outcome) {
  if (outcome == "completed") return kDone;
  if (outcome == "failed" || outcome == "cancelled" || outcome == "not_run") {
    return kDefiniteNo;
  }
  return kUnknownOutcome;
}

bool HasEnded(const std::string& outcome) {
  return OutcomeExitCode(outcome) != kUnknownOutcome || outcome == "unknown";
}

// Prints why a submission has no job: it surely did not run, unless a try of
// it went unanswered or its request id belongs to another request.
int PrintRefusal(const ToolAnswer& answer, const std::string& request_id) {
  const int exit_code = StatusExitCode(answer);
  json::object object = ParseAnswer(answer);
  const bool surely_not_run = exit_code != kUnknownOutcome &&
                              answer.status_ != 422 && !answer.maybe_done_;
  json::object job = {{"job", ""},
                      {"request_id", request_id},
                      {"outcome", surely_not_run ? "not_run" : "unknown"},
                      {"reason", object["message"]},
                      {"retry_after_ms", 0},
                      {"parts", json::array()}};
  for (const char* field : {"retry_after_ms", "error"}) {
    if (object.contains(field)) job[field] = object[field];
  }
  Print(job, JobText);
  const bool may_have_run = answer.maybe_done_ && answer.status_ != 422;
  return may_have_run ? kUnknownOutcome : exit_code;
}

ToolRequest SubmitRequest(const std::string& request_id, Duration wait) {
  return {ToolMethod::kPost, fmt::format("/v1/jobs?wait_ms={}", wait.ms()),
          request_id, json::serialize(SubmitBody()), kAnswerTimeout + wait};
}

// The next try goes to another entry, after a pause: an entry that is stopping
// answers at once.
void TurnToNextEntry(ToolConnection& connection) {
  std::rotate(connection.servers_.begin(), connection.servers_.begin() + 1,
              connection.servers_.end());
  std::this_thread::sleep_for(std::chrono::milliseconds(kPollPause.ms()));
}

// Sends the submission again until its job has ended: the request id makes
// each resend ask for the same job, whatever became of the entry before. Once
// the job was accepted, no refusal of a resend says that it did not run.
int Submit() {
  if (absl::GetFlag(FLAGS_customer).empty()) {
    return Usage("--customer is empty");
  }
  if (absl::GetFlag(FLAGS_accelerators) == 0) {
    return Usage("--accelerators is 0");
  }
  const std::string request_id = RequestIdFlag();
  ToolConnection connection = MakeConnection();
  const bool wait = absl::GetFlag(FLAGS_wait);
  std::optional<json::object> accepted;
  const Time end = MonotonicNow() + Duration(absl::GetFlag(FLAGS_wait_ms));
  for (;;) {
    const Duration left = end - MonotonicNow();
    const Duration this_wait =
        wait ? std::clamp(left, Duration(), kLongestSingleWait) : Duration();
    const ToolAnswer answer =
        Ask(connection, SubmitRequest(request_id, this_wait));
    const bool done = StatusExitCode(answer) == kDone;
    if (!done && !accepted) return PrintRefusal(answer, request_id);
    if (done) accepted = ParseAnswer(answer);
    const std::string outcome = OutcomeOf(*accepted);
    if (wait && !HasEnded(outcome) && left > Duration()) {
      TurnToNextEntry(connection);
      continue;
    }
    Print(*accepted, JobText);
    return wait ? OutcomeExitCode(outcome) : kDone;
  }
}

int CancelJob(const std::string& job) {
  const ToolAnswer answer =
      Ask(MakeConnection(),
          {ToolMethod::kDelete, "/v1/jobs/" + job, "", "", kAnswerTimeout});
  const json::object object = ParseAnswer(answer);
  const int exit_code = StatusExitCode(answer);
  if (exit_code != kDone) {
    Print(object, ObjectText);
    return exit_code;
  }
  Print(object, JobText);
  const std::string outcome = OutcomeOf(object);
  const bool too_late = HasEnded(outcome) && outcome != "cancelled";
  return too_late ? kDefiniteNo : kDone;
}

int ShowJob(const std::string& job) {
  const ToolAnswer answer =
      Ask(MakeConnection(),
          {ToolMethod::kGet, "/v1/jobs/" + job, "", "", kAnswerTimeout});
  const json::object object = ParseAnswer(answer);
  const int exit_code = StatusExitCode(answer);
  Print(object, exit_code == kDone ? JobText : ObjectText);
  return exit_code;
}

// --- Evacuations.

int Evacuate(const std::string& domain) {
  const ToolMethod method =
      absl::GetFlag(FLAGS_end) ? ToolMethod::kDelete : ToolMethod::kPost;
  return AskAndPrint(
      {method, "/v1/evacuations/" + domain, "", "", kAnswerTimeout});
}

// --- Voters.

int AddVoter(const std::string& name, const std::string& address) {
  const json::object body = {{"name", name}, {"address", address}};
  return AskAndPrint({ToolMethod::kPost, "/v1/voters", RequestIdFlag(),
                      json::serialize(body), kLongestSingleWait});
}

int RemoveVoter(const std::string& name) {
  return AskAndPrint(
      {ToolMethod::kDelete, "/v1/voters/" + name, "", "", kLongestSingleWait});
}

// --- Commands.

using Words = std::vector<std::string>;

struct CommandEntry {
  // The words that name it, such as {"table", "apply"}.
  Words name_;
  // The arguments that follow, by name.
  Words arguments_;
  int (*run_)(const Words& arguments);
};

std::vector<LogLine> ReadLogLines(std::istream& in) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(in, text)) {
    if (auto line = ParseLogLine(text)) lines.push_back(std::move(*line));
  }
  return lines;
}

// Calls `print` with the lines of the files of --logs, or of standard input.
int WithLogLines(const std::function<int(const std::vector<LogLine>&)>& print) {
  std::vector<LogLine> lines;
  const std::vector<std::string> files = absl::GetFlag(FLAGS_logs);
  if (files.empty()) lines = ReadLogLines(std::cin);
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) return Usage(fmt::format("{} can't be read", path));
    for (LogLine& line : ReadLogLines(file)) lines.push_back(std::move(line));
  }
  return print(lines);
}

int ExplainId(const std::string& id) {
  return WithLogLines([&id](const std::vector<LogLine>& lines) {
    const Story story = Explain(lines, id);
    fmt::print("{}", PrintStory(story));
    return story.lines_.empty() ? kDefiniteNo : kDone;
  });
}

int ExplainDelays() {
  return WithLogLines([](const std::vector<LogLine>& lines) {
    fmt::print("{}", PrintDelays(SumDelays(lines)));
    return kDone;
  });
}

const std::vector<CommandEntry>& Commands() {
  static const std::vector<CommandEntry> commands = {
      {{"init"},
       {},
       [](const Words&) {
         return AskAndPrint({ToolMethod::kPost, "/v1/init", RequestIdFlag(),
                             "{}", kLongestSingleWait});
       }},
      {{"table", "show"}, {}, [](const Words&) { return ShowTable(); }},
      {{"table", "apply"},
       {"FILE.csv"},
       [](const Words& arguments) { return ApplyTable(arguments[0]); }},
      {{"table", "status"},
       {},
       [](const Words&) { return Get("/v1/table/status"); }},
      {{"table", "history"},
       {},
       [](const Words&) { return Get("/v1/table/history"); }},
      {{"submit"}, {}, [](const Words&) { return Submit(); }},
      {{"job", "show"},
       {"ID"},
       [](const Words& arguments) { return ShowJob(arguments[0]); }},
      {{"job", "cancel"},
       {"ID"},
       [](const Words& arguments) { return CancelJob(arguments[0]); }},
      {{"jobs"}, {}, [](const Words&) { return Get("/v1/jobs"); }},
      {{"workers"}, {}, [](const Words&) { return Get("/v1/workers"); }},
      {{"status"}, {}, [](const Words&) { return Get("/v1/status"); }},
      {{"explain"},
       {"ID"},
       [](const Words& arguments) { return ExplainId(arguments[0]); }},
      {{"delays"}, {}, [](const Words&) { return ExplainDelays(); }},
      {{"evacuate"},
       {"DOMAIN"},
       [](const Words& arguments) { return Evacuate(arguments[0]); }},
      {{"voter", "add"},
       {"NAME", "ADDRESS"},
       [](const Words& arguments) {
         return AddVoter(arguments[0], arguments[1]);
       }},
      {{"voter", "remove"},
       {"NAME"},
       [](const Words& arguments) { return RemoveVoter(arguments[0]); }},
  };
  return commands;
}

int RunCommand(const Words& words) {
  if (words == Words{"evacuate"} && absl::GetFlag(FLAGS_list)) {
    return Get("/v1/evacuations");
  }
  for (const CommandEntry& command : Commands()) {
    const std::size_t length = command.name_.size();
    if (words.size() < length) continue;
    const auto arguments_begin =
        words.begin() + static_cast<std::ptrdiff_t>(length);
    if (!std::equal(words.begin(), arguments_begin, command.name_.begin())) {
      continue;
    }
    const Words arguments(arguments_begin, words.end());
    if (arguments.size() != command.arguments_.size()) {
      return Usage(fmt::format("\"{}\" takes {} argument(s)",
                               fmt::join(command.name_, " "),
                               command.arguments_.size()));
    }
    return command.run_(arguments);
  }
  return Usage(
      fmt::format("command \"{}\" does not exist", fmt::join(words, " ")));
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsageText);
  if (const auto mistake = FindFlagMistake(argc, argv)) return Usage(*mistake);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const Words words(positional.begin() + 1, positional.end());
  if (MakeConnection().servers_.empty()) return Usage("--servers is empty");
  return RunCommand(words);
}

}  // namespace
}  // namespace flamingohollow

int main(int argc, char** argv) { return flamingohollow::Main(argc, argv); }
