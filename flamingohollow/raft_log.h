// The part of the replicated log that a voter holds in memory: everything
// after a base entry, plus the newest snapshot.
//
// Entries are contiguous, so finding one costs a subtraction.

#ifndef FLAMINGOHOLLOW_RAFT_LOG_H_
#define FLAMINGOHOLLOW_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/types.h"

namespace flamingohollow {

struct Member {
  VoterId id_;
  NodeName name_;
  std::string address_;
  // Receives the log but counts in no quorum.
  bool learner_ = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// Sorted by id. Empty: this voter belongs to no group yet.
using Membership = std::vector<Member>;

const Member* FindMember(const Membership& membership, VoterId id);
const Member* FindMemberByName(const Membership& membership,
                               const NodeName& name);
bool IsVoter(const Membership& membership, VoterId id);
std::size_t CountVoters(const Membership& membership);
// Size of the smallest majority of the voters.
std::size_t QuorumSize(const Membership& membership);

enum class EntryKind : std::uint8_t {
  kCommand = 0,
  // Opens a leader's term; nothing to apply.
  kNoop = 1,
  kMembership = 2,
};

struct LogEntry {
  LogIndex index_;
  Term term_;
  EntryKind kind_ = EntryKind::kCommand;
  // kCommand only.
  std::string command_;
  // kMembership only.
  Membership membership_;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// Size of an entry in bytes, as counted against the limits.
std::size_t EntryBytes(const LogEntry& entry);

// All applied state up to `index_`; shared because it may be large.
struct Snapshot {
  LogIndex index_;
  Term term_;
  Membership membership_;
  std::shared_ptr<const std::string> data_;
};

// A membership and the index of the entry that set it.
struct MembershipAt {
  LogIndex index_;
  Membership membership_;
};

struct RaftLog {
  // The entry just before `entries_`; its content is discarded.
  LogIndex base_index_;
  Term base_term_;
  // entries_[i].index_ == base_index_ + 1 + i.
  std::deque<LogEntry> entries_;
  // Sum of EntryBytes over `entries_`.
  std::size_t bytes_ = 0;
  // snapshot_.index_ >= base_index_; index 0 means none.
  Snapshot snapshot_;
  // Ascending by index. A truncation may still remove memberships that are
  // newer than the snapshot's.
  std::vector<MembershipAt> memberships_;
};

LogIndex LastIndex(const RaftLog& log);
Term LastTerm(const RaftLog& log);
// Empty when `index` is before the base or after the last entry.
std::optional<Term> TermAt(const RaftLog& log, LogIndex index);
// Null when `index` is not among the entries held.
const LogEntry* EntryAt(const RaftLog& log, LogIndex index);
// A membership takes effect as soon as it is appended.
const Membership& CurrentMembership(const RaftLog& log);
LogIndex CurrentMembershipIndex(const RaftLog& log);

// `entry.index_` must be LastIndex + 1.
void AppendEntry(RaftLog* log, LogEntry entry);
// Drops `from` and all after it.
void TruncateFrom(RaftLog* log, LogIndex from);
// Sets `snapshot` as the newest and drops the entries that are more than
// `keep` behind it.
void CompactLog(RaftLog* log, Snapshot snapshot, std::size_t keep);
// Replaces the whole log by `snapshot`.
void ResetLog(RaftLog* log, Snapshot snapshot);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RAFT_LOG_H_
