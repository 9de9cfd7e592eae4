// Tests of table changes, and of the table as CSV and JSON.

#include "flamingohollow/table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/codec.h"
#include "flamingohollow/table_csv.h"
#include "flamingohollow/table_json.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

Row MakeRow(const std::string& customer, double weight = 1) {
  Row row;
  row.customer_ = CustomerId(customer);
  row.weight_ = weight;
  row.guaranteed_ = {Cell{2, Accelerators(8), Adjacency::kWorker}};
  row.max_borrowed_ = 64;
  row.max_queued_ = 100;
  row.max_rate_ = 10;
  return row;
}

TableChange MakeChange(const std::string& id, std::uint64_t base,
                       std::vector<Row> rows) {
  TableChange change;
  change.request_id_ = RequestId(id);
  change.base_version_ = TableVersion(base);
  change.upserts_ = std::move(rows);
  change.operator_ = "ana";
  return change;
}

// The error message of a failing reader, or "none".
template <typename Read>
std::string ErrorOf(Read read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(read());
        return "none";
      },
      [](const TableFormatError& error) { return error.message_; },
      [] { return std::string("another error"); });
}

TEST_CASE("of two changes on one version, one wins and the other is told") {
  Table table;
  const auto first =
      ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x")}));
  const auto second =
      ApplyTableChange(table, MakeChange("b", 0, {MakeRow("y")}));
  CHECK(first.outcome_ == TableOutcome::kAccepted);
  CHECK(first.version_ == TableVersion(1));
  CHECK(second.outcome_ == TableOutcome::kConflict);
  CHECK(second.version_ == TableVersion(1));
  CHECK(table.rows_.size() == 1);
}

TEST_CASE("a resent change gets its first outcome and applies once") {
  Table table;
  const auto change = MakeChange("a", 0, {MakeRow("x")});
  const auto first = ApplyTableChange(table, change);
  ApplyTableChange(table, MakeChange("b", 1, {MakeRow("x", 3)}));
  CHECK(ApplyTableChange(table, change) == first);
  // The tool bases a resend on the version that it reads by then.
  auto rebased = change;
  rebased.base_version_ = TableVersion(2);
  CHECK(ApplyTableChange(table, rebased) == first);
  CHECK(table.version_ == TableVersion(2));
  CHECK(table.rows_.at(CustomerId("x")).weight_ == 3);
}

TEST_CASE("a request id can't be used for another change") {
  Table table;
  ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x")}));
  auto other = MakeChange("a", 1, {MakeRow("x", 2)});
  CHECK(ApplyTableChange(table, other).outcome_ ==
        TableOutcome::kRequestIdReused);
  other = MakeChange("a", 0, {MakeRow("x")});
  other.operator_ = "ben";
  CHECK(ApplyTableChange(table, other).outcome_ ==
        TableOutcome::kRequestIdReused);
  CHECK(table.version_ == TableVersion(1));
}

TEST_CASE("a refused change may be sent again with the same id, mended") {
  Table table;
  CHECK(ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x", -1)}))
            .outcome_ == TableOutcome::kInvalid);
  CHECK(ApplyTableChange(table, MakeChange("a", 7, {MakeRow("x")})).outcome_ ==
        TableOutcome::kConflict);
  CHECK(ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x")})).outcome_ ==
        TableOutcome::kAccepted);
}

TEST_CASE("invalid changes name row and column and change nothing") {
  Table table;
  const auto reason = [&](const TableChange& change) {
    const auto result = ApplyTableChange(table, change);
    CHECK(result.outcome_ == TableOutcome::kInvalid);
    CHECK(table.version_ == TableVersion(0));
    return result.reason_;
  };
  CHECK(reason(MakeChange("a", 0, {MakeRow("x", 0)})) ==
        "row of customer \"x\", column \"weight\": 0 is not above 0 and at "
        "most 1000000");
  auto row = MakeRow("x");
  row.guaranteed_[0].count_ = 0;
  CHECK(reason(MakeChange("a", 0, {row})) ==
        "row of customer \"x\", column \"guaranteed\": count 0 is not from 1 "
        "to 100000");
  CHECK(reason(MakeChange("a", 0, {MakeRow("x"), MakeRow("x")})) ==
        "row of customer \"x\", column \"customer\": stands twice in the "
        "change");
  CHECK(reason(MakeChange("a", 0, {})) == "the change is empty");
  auto removal = MakeChange("a", 0, {});
  removal.removals_ = {CustomerId("z")};
  CHECK(reason(removal) == "removed customer \"z\" has no row");
}

TEST_CASE("a row sent along unchanged keeps its version") {
  Table table;
  ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x"), MakeRow("y")}));
  ApplyTableChange(table, MakeChange("b", 1, {MakeRow("x"), MakeRow("y", 2)}));
  CHECK(table.rows_.at(CustomerId("x")).version_ == TableVersion(1));
  CHECK(table.rows_.at(CustomerId("y")).version_ == TableVersion(2));
}

TEST_CASE("history is bounded, and beyond it the base version protects") {
  Table table;
  const auto first = MakeChange("first", 0, {MakeRow("x")});
  ApplyTableChange(table, first);
  for (std::size_t i = 1; i <= kRememberedChanges; ++i) {
    const auto result = ApplyTableChange(
        table, MakeChange("r" + std::to_string(i), i, {MakeRow("x")}));
    REQUIRE(result.outcome_ == TableOutcome::kAccepted);
  }
  CHECK(table.history_.size() == kRememberedChanges);
  CHECK(ApplyTableChange(table, first).outcome_ == TableOutcome::kConflict);
}

// What an operator sends in the random test: a few ids, customers and bases,
// so that conflicts, resends and reuse of ids are all common.
TableChange RandomChange(std::uint64_t present) {
  const auto id = *rc::gen::inRange(0, 40);
  const auto base = *rc::gen::inRange<std::uint64_t>(
      present > 0 ? present - 1 : 0, present + 2);
  const auto customer = "c" + std::to_string(*rc::gen::inRange(0, 3));
  auto change = MakeChange("r" + std::to_string(id), base, {});
  if (*rc::gen::inRange(0, 4) == 0) {
    change.removals_ = {CustomerId(customer)};
  } else {
    change.upserts_ = {MakeRow(customer, *rc::gen::inRange(0, 3))};
  }
  change.operator_ = *rc::gen::element<std::string>("ana", "ben");
  return change;
}

TEST_CASE("random: racing operators against a plain oracle, over restarts") {
  const bool ok = rc::check([] {
    Table table;
    // The oracle: each accepted change by id, and the rows that they leave.
    std::map<std::string, std::pair<TableChange, std::uint64_t>> accepted;
    std::map<CustomerId, double> weights;
    std::uint64_t version = 0;
    const int changes = *rc::gen::inRange(1, 300);
    for (int i = 0; i < changes; ++i) {
      const auto change = RandomChange(version);
      const auto result = ApplyTableChange(table, change);
      const auto earlier = accepted.find(change.request_id_.value());
      if (earlier != accepted.end()) {
        auto same_base = change;
        same_base.base_version_ = earlier->second.first.base_version_;
        const bool same = same_base == earlier->second.first;
        RC_ASSERT(result.outcome_ == (same ? TableOutcome::kAccepted
                                           : TableOutcome::kRequestIdReused));
        if (same) {
          RC_ASSERT(result.version_.value() == earlier->second.second);
        }
      } else if (result.outcome_ == TableOutcome::kAccepted) {
        RC_ASSERT(change.base_version_.value() == version);
        RC_ASSERT(result.version_.value() == version + 1);
        ++version;
        accepted[change.request_id_.value()] = {change, version};
        for (const auto& customer : change.removals_) {
          RC_ASSERT(weights.erase(customer) == 1);
        }
        for (const auto& row : change.upserts_) {
          weights[row.customer_] = row.weight_;
        }
      } else if (result.outcome_ == TableOutcome::kConflict) {
        RC_ASSERT(change.base_version_.value() != version);
        RC_ASSERT(result.version_.value() == version);
      }
      RC_ASSERT(table.version_.value() == version);
      // A restart goes on from a snapshot.
      if (*rc::gen::inRange(0, 20) == 0) {
        table = leaf::try_handle_all([&] { return DecodeTable(Encode(table)); },
                                     [] { return Table(); });
      }
    }
    std::map<CustomerId, double> left;
    for (const auto& [customer, row] : table.rows_) {
      left[customer] = row.weight_;
    }
    RC_ASSERT(left == weights);
  });
  CHECK(ok);
}

TEST_CASE("CSV goes out and comes back") {
  Table table;
  auto odd = MakeRow("with, comma and \"quotes\"", 0.1);
  odd.guaranteed_.push_back(Cell{1, Accelerators(16), Adjacency::kRack});
  auto plain = MakeRow("plain");
  plain.guaranteed_.clear();
  ApplyTableChange(table, MakeChange("a", 0, {odd, plain}));
  const std::string csv = TableToCsv(table);
  CHECK(csv ==
        "customer,weight,guaranteed,max_borrowed,max_queued,max_rate\n"
        "plain,1,,64,100,10\n"
        "\"with, comma and \"\"quotes\"\"\",0.1,2x8@worker+1x16@rack,64,100,"
        "10\n");
  const auto rows = leaf::try_handle_all(
      [&] { return RowsFromCsv("\xEF\xBB\xBF" + csv + "\r\n"); },
      [] { return std::vector<Row>(); });
  CHECK(rows == std::vector<Row>{plain, odd});
}

TEST_CASE("CSV errors name row and column") {
  const std::string header =
      "customer,weight,guaranteed,max_borrowed,max_queued,max_rate\n";
  const auto error = [](const std::string& text) {
    return ErrorOf([&] { return RowsFromCsv(text); });
  };
  CHECK(error("") == "the file is empty");
  CHECK(error("customer,colour\n") == "row 1: unknown column \"colour\"");
  CHECK(error("customer,weight\n") ==
        "row 1: column \"guaranteed\" is missing");
  CHECK(error("customer,customer\n") ==
        "row 1: column \"customer\" stands twice");
  CHECK(error(header + "\na,heavy,,1,1,1\n") ==
        "row 3, column \"weight\": \"heavy\" is not a number");
  CHECK(error(header + "a,1,,-1,1,1\n") ==
        "row 2, column \"max_borrowed\": \"-1\" is not a whole number");
  CHECK(error(header + "a,1,,99999999999,1,1\n") ==
        "row 2, column \"max_borrowed\": \"99999999999\" is out of range");
  CHECK(error(header + "a,1,2x8@moon,1,1,1\n") ==
        "row 2, column \"guaranteed\": cell \"2x8@moon\" is not "
        "COUNTxACCELERATORS@ADJACENCY, with adjacency worker, rack, "
        "failure_domain or region");
  CHECK(error(header + "a,1,,1,1,1\na,1,,1,1,1\n") ==
        "row 3, column \"customer\": \"a\" stands in row 2 already");
  CHECK(error(header + "a,1\n") == "row 2: 2 fields, but the header names 6");
  CHECK(error(header + "\"a,1\n") == "row 2: misplaced quote");
}

TEST_CASE("JSON goes out and comes back") {
  auto change = MakeChange("", 3, {MakeRow("x", 0.25)});
  change.removals_ = {CustomerId("y")};
  change.operator_ = "";
  const auto body = leaf::try_handle_all(
      [&] { return ChangeFromJson(ChangeToJson(change, true)); },
      [] { return ChangeBody(); });
  CHECK(body.change_ == change);
  CHECK(body.dry_run_);

  Table table;
  ApplyTableChange(table, MakeChange("a", 0, {MakeRow("x"), MakeRow("y")}));
  const auto read =
      leaf::try_handle_all([&] { return TableFromJson(TableToJson(table)); },
                           [] { return Table(); });
  CHECK(read.version_ == table.version_);
  CHECK(read.rows_ == table.rows_);
}

TEST_CASE("JSON errors name row and field") {
  const auto error = [](const std::string& text) {
    return ErrorOf([&] { return ChangeFromJson(boost::json::parse(text)); });
  };
  CHECK(error("[]") == "the body is not an object");
  CHECK(error("{}") == "field \"base_version\": is missing");
  CHECK(error(R"({"base_version": 1, "colour": 2})") ==
        "unknown field \"colour\"");
  CHECK(error(R"({"base_version": -1})") ==
        "field \"base_version\": is not a whole number from 0 to "
        "18446744073709551615");
  CHECK(error(R"({"base_version": 1, "rows": [{"customer": "a"}]})") ==
        "row 1, column \"weight\": is missing");
  CHECK(error(R"({"base_version": 1, "rows": [{"version": 1}]})") ==
        "row 1, unknown field \"version\"");
}

}  // namespace
}  // namespace flamingohollow
