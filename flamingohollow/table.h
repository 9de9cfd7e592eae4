// The customer table: one row a customer, changed by atomic sets of rows.
//
// A change names the version that it is based on. It is accepted only while
// the table is still at that version, so of two racing operators exactly one
// wins and the other learns the version that won. Each accepted change raises
// the version by one. A resent request id gets its first outcome again.
//
// Everything here is pure; the replicated log decides the order of changes.

#ifndef FLAMINGOHOLLOW_TABLE_H_
#define FLAMINGOHOLLOW_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// One customer's weights and limits.
struct Row {
  CustomerId customer_;
  // Share of spare capacity relative to other customers; above 0.
  double weight_ = 1.0;
  GuaranteedShape guaranteed_;
  // Accelerators held beyond the guarantee at any one time.
  std::uint32_t max_borrowed_ = 0;
  // Jobs accepted and not yet running.
  std::uint32_t max_queued_ = 0;
  // Submissions a second.
  double max_rate_ = 0;
  // The table version that last changed this row.
  TableVersion version_;

  friend bool operator==(const Row&, const Row&) = default;
};

// An atomic set of changes.
struct TableChange {
  RequestId request_id_;
  TableVersion base_version_;
  std::vector<Row> upserts_;
  std::vector<CustomerId> removals_;
  // Who asked, for the history.
  std::string operator_;
  Time at_;

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

enum class TableOutcome : std::uint8_t {
  kAccepted,
  kConflict,
  kInvalid,
  // The request id was used before with another body.
  kRequestIdReused,
};

struct TableResult {
  TableOutcome outcome_ = TableOutcome::kInvalid;
  // The version that the change made, or on a conflict the present version.
  TableVersion version_;
  std::string reason_;

  friend bool operator==(const TableResult&, const TableResult&) = default;
};

// What is remembered of an earlier change, for resends and the history.
struct ChangeRecord {
  RequestId request_id_;
  std::uint64_t body_hash_ = 0;
  std::string operator_;
  Time at_;
  std::vector<CustomerId> changed_;
  TableResult result_;
};

struct Table {
  TableVersion version_;
  std::map<CustomerId, Row> rows_;
  // The last kRememberedChanges changes, oldest first.
  std::deque<ChangeRecord> history_;
};

// Resends are recognised within this many changes; beyond it the base version
// still keeps a resend from being applied twice.
inline constexpr std::size_t kRememberedChanges = 4096;

// Applies `change` to `table`: deterministic, as every voter applies it.
TableResult ApplyTableChange(Table& table, const TableChange& change);

// What ApplyTableChange would answer without changing the table; nothing when
// it would accept the change anew.
std::optional<TableResult> RefuseTableChange(const Table& table,
                                             const TableChange& change);

// The table without its history.
Table RowsOnly(const Table& table);

// The table as ApplyTableChange would leave it, without its history, for a
// change that would be accepted anew.
Table PreviewTableChange(const Table& table, const TableChange& change);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TABLE_H_
