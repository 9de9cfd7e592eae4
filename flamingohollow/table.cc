// Decides on table changes.
//
// Every voter applies the same changes in the same order, so whatever is
// decided here must depend on the table and the change alone.

#include "flamingohollow/table.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "flamingohollow/shape_text.h"

namespace flamingohollow {
namespace {

// Limits on one row, far above any real one, so that sums don't overflow.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxCells = 64;
constexpr std::uint32_t kMaxCellCount = 100000;
constexpr std::uint32_t kMaxCellAccelerators = 100000;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e6;
constexpr std::size_t kMaxRows = 10000;

bool IsPlainName(std::string_view name) {
  const bool has_control_character =
      std::any_of(name.begin(), name.end(),
                  [](unsigned char c) { return c < ' ' || c == 0x7F; });
  return !name.empty() && name.size() <= kMaxNameBytes &&
         !has_control_character && name.front() != ' ' && name.back() != ' ';
}

std::string InvalidCell(const Row& row, std::string_view column,
                        std::string_view why) {
  return fmt::format("row of customer \"{}\", column \"{}\": {}",
                     row.customer_.value(), column, why);
}

// All checks return what is wrong, or nothing.
std::string CheckShape(const Row& row) {
  if (row.guaranteed_.size() > kMaxCells) {
    return InvalidCell(row, "guaranteed",
                       fmt::format("has over {} cells", kMaxCells));
  }
  for (const Cell& cell : row.guaranteed_) {
    if (cell.count_ == 0 || cell.count_ > kMaxCellCount) {
      return InvalidCell(row, "guaranteed",
                         fmt::format("count {} is not from 1 to {}",
                                     cell.count_, kMaxCellCount));
    }
    const std::uint32_t each = cell.accelerators_.value();
    if (each == 0 || each > kMaxCellAccelerators) {
      return InvalidCell(row, "guaranteed",
                         fmt::format("{} accelerators are not from 1 to {}",
                                     each, kMaxCellAccelerators));
    }
  }
  return "";
}

std::string CheckRow(const Row& row) {
  if (!IsPlainName(row.customer_.value())) {
    return InvalidCell(
        row, "customer",
        fmt::format("must have 1 to {} bytes, no control characters and no "
                    "space at either end",
                    kMaxNameBytes));
  }
  // Written so that NaN fails too.
  if (!(row.weight_ > 0 && row.weight_ <= kMaxWeight)) {
    return InvalidCell(row, "weight",
                       fmt::format("{} is not above 0 and at most {}",
                                   row.weight_, kMaxWeight));
  }
  if (!(row.max_rate_ >= 0 && row.max_rate_ <= kMaxRate)) {
    return InvalidCell(
        row, "max_rate",
        fmt::format("{} is not from 0 to {}", row.max_rate_, kMaxRate));
  }
  return CheckShape(row);
}

// Checks that need only the change.
std::string CheckChange(const TableChange& change) {
  if (!IsPlainName(change.request_id_.value())) {
    return fmt::format(
        "the request id must have 1 to {} bytes and no control characters",
        kMaxNameBytes);
  }
  if (change.upserts_.empty() && change.removals_.empty()) {
    return "the change is empty";
  }
  std::set<CustomerId> seen;
  for (const Row& row : change.upserts_) {
    if (std::string why = CheckRow(row); !why.empty()) return why;
    if (!seen.insert(row.customer_).second) {
      return InvalidCell(row, "customer", "stands twice in the change");
    }
  }
  for (const CustomerId& customer : change.removals_) {
    if (!seen.insert(customer).second) {
      return fmt::format("removed customer \"{}\" stands twice in the change",
                         customer.value());
    }
  }
  return "";
}

// Checks that need the table as well.
std::string CheckAgainstTable(const Table& table, const TableChange& change) {
  for (const CustomerId& customer : change.removals_) {
    if (!table.rows_.contains(customer)) {
      return fmt::format("removed customer \"{}\" has no row",
                         customer.value());
    }
  }
  std::size_t rows = table.rows_.size() - change.removals_.size();
  for (const Row& row : change.upserts_) {
    if (!table.rows_.contains(row.customer_)) ++rows;
  }
  if (rows > kMaxRows) {
    return fmt::format("the table would have over {} rows", kMaxRows);
  }
  return "";
}

// Stands for what the request asks for. The base version is left out: the tool
// bases a change on the version that it reads, so a resend after a lost answer
// may name a newer one and must still get the first outcome. Lengths before
// the texts keep two different bodies from reading the same.
std::uint64_t HashBody(const TableChange& change) {
  std::string body =
      fmt::format("{}:{};", change.operator_.size(), change.operator_);
  for (const Row& row : change.upserts_) {
    body += fmt::format("{}:{};{};{};{};{};{};", row.customer_.value().size(),
                        row.customer_.value(), row.weight_,
                        FormatShape(row.guaranteed_), row.max_borrowed_,
                        row.max_queued_, row.max_rate_);
  }
  for (const CustomerId& customer : change.removals_) {
    body += fmt::format("-{}:{};", customer.value().size(), customer.value());
  }
  return XXH3_64bits(body.data(), body.size());
}

const ChangeRecord* FindRecord(const Table& table, const RequestId& id) {
  const auto found = std::find_if(
      table.history_.rbegin(), table.history_.rend(),
      [&](const ChangeRecord& record) { return record.request_id_ == id; });
  return found == table.history_.rend() ? nullptr : &*found;
}

// The answer without applying, unless the change is to be accepted.
std::optional<TableResult> Refuse(const Table& table, const TableChange& change,
                                  std::uint64_t body_hash) {
  if (const ChangeRecord* record = FindRecord(table, change.request_id_)) {
    if (record->body_hash_ == body_hash) return record->result_;
    return TableResult{
        .outcome_ = TableOutcome::kRequestIdReused,
        .version_ = table.version_,
        .reason_ =
            fmt::format("request id \"{}\" was used before for another change",
                        change.request_id_.value()),
    };
  }
  if (std::string why = CheckChange(change); !why.empty()) {
    return TableResult{.outcome_ = TableOutcome::kInvalid,
                       .version_ = table.version_,
                       .reason_ = std::move(why)};
  }
  if (change.base_version_ != table.version_) {
    return TableResult{
        .outcome_ = TableOutcome::kConflict,
        .version_ = table.version_,
        .reason_ = fmt::format(
            "the change is based on version {}, but the table is at version "
            "{}",
            change.base_version_.value(), table.version_.value()),
    };
  }
  if (std::string why = CheckAgainstTable(table, change); !why.empty()) {
    return TableResult{.outcome_ = TableOutcome::kInvalid,
                       .version_ = table.version_,
                       .reason_ = std::move(why)};
  }
  return std::nullopt;
}

void UpsertRow(Table& table, Row row) {
  const auto present = table.rows_.find(row.customer_);
  if (present != table.rows_.end()) {
    row.version_ = present->second.version_;
    // A row sent along unchanged keeps its version.
    if (row == present->second) return;
  }
  row.version_ = table.version_;
  table.rows_[row.customer_] = std::move(row);
}

void ChangeRows(Table& table, const TableChange& change) {
  table.version_ = Next(table.version_);
  for (const CustomerId& customer : change.removals_) {
    table.rows_.erase(customer);
  }
  for (const Row& row : change.upserts_) UpsertRow(table, row);
}

void Remember(Table& table, ChangeRecord record) {
  table.history_.push_back(std::move(record));
  while (table.history_.size() > kRememberedChanges) {
    table.history_.pop_front();
  }
}

std::vector<CustomerId> ChangedCustomers(const TableChange& change) {
  std::vector<CustomerId> customers = change.removals_;
  for (const Row& row : change.upserts_) customers.push_back(row.customer_);
  std::sort(customers.begin(), customers.end());
  return customers;
}

}  // namespace

std::optional<TableResult> RefuseTableChange(const Table& table,
                                             const TableChange& change) {
  return Refuse(table, change, HashBody(change));
}

TableResult ApplyTableChange(Table& table, const TableChange& change) {
  const std::uint64_t body_hash = HashBody(change);
  if (auto refusal = Refuse(table, change, body_hash)) return *refusal;

  ChangeRows(table, change);
  TableResult result{.outcome_ = TableOutcome::kAccepted,
                     .version_ = table.version_,
                     .reason_ = ""};
  Remember(table, ChangeRecord{.request_id_ = change.request_id_,
                               .body_hash_ = body_hash,
                               .operator_ = change.operator_,
                               .at_ = change.at_,
                               .changed_ = ChangedCustomers(change),
                               .result_ = result});
  return result;
}

Table RowsOnly(const Table& table) {
  Table copy;
  copy.version_ = table.version_;
  copy.rows_ = table.rows_;
  return copy;
}

Table PreviewTableChange(const Table& table, const TableChange& change) {
  Table preview = RowsOnly(table);
  ChangeRows(preview, change);
  return preview;
}

}  // namespace flamingohollow
