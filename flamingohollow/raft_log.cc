// Indexing, truncation and compaction of the log in memory.

#include "flamingohollow/raft_log.h"

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

// Overhead of an entry beside its command.
constexpr std::size_t kEntryOverhead = 64;

const Membership kNoMembership;

}  // namespace

const Member* FindMember(const Membership& membership, VoterId id) {
  for (const Member& member : membership) {
    if (member.id_ == id) return &member;
  }
  return nullptr;
}

const Member* FindMemberByName(const Membership& membership,
                               const NodeName& name) {
  for (const Member& member : membership) {
    if (member.name_ == name) return &member;
  }
  return nullptr;
}

bool IsVoter(const Membership& membership, VoterId id) {
  const Member* member = FindMember(membership, id);
  return member != nullptr && !member->learner_;
}

std::size_t CountVoters(const Membership& membership) {
  return static_cast<std::size_t>(
      std::count_if(membership.begin(), membership.end(),
                    [](const Member& member) { return !member.learner_; }));
}

std::size_t QuorumSize(const Membership& membership) {
  return CountVoters(membership) / 2 + 1;
}

std::size_t EntryBytes(const LogEntry& entry) {
  return entry.command_.size() + kEntryOverhead;
}

LogIndex LastIndex(const RaftLog& log) {
  return LogIndex(log.base_index_.value() + log.entries_.size());
}

Term LastTerm(const RaftLog& log) {
  return log.entries_.empty() ? log.base_term_ : log.entries_.back().term_;
}

std::optional<Term> TermAt(const RaftLog& log, LogIndex index) {
  if (index == log.base_index_) return log.base_term_;
  const LogEntry* entry = EntryAt(log, index);
  if (entry == nullptr) return std::nullopt;
  return entry->term_;
}

const LogEntry* EntryAt(const RaftLog& log, LogIndex index) {
  if (index <= log.base_index_ || index > LastIndex(log)) return nullptr;
  return &log.entries_[index.value() - log.base_index_.value() - 1];
}

const Membership& CurrentMembership(const RaftLog& log) {
  if (log.memberships_.empty()) return kNoMembership;
  return log.memberships_.back().membership_;
}

LogIndex CurrentMembershipIndex(const RaftLog& log) {
  if (log.memberships_.empty()) return LogIndex();
  return log.memberships_.back().index_;
}

void AppendEntry(RaftLog* log, LogEntry entry) {
  log->bytes_ += EntryBytes(entry);
  if (entry.kind_ == EntryKind::kMembership) {
    log->memberships_.push_back({entry.index_, entry.membership_});
  }
  log->entries_.push_back(std::move(entry));
}

void TruncateFrom(RaftLog* log, LogIndex from) {
  while (!log->entries_.empty() && log->entries_.back().index_ >= from) {
    log->bytes_ -= EntryBytes(log->entries_.back());
    log->entries_.pop_back();
  }
  while (!log->memberships_.empty() &&
         log->memberships_.back().index_ >= from) {
    log->memberships_.pop_back();
  }
}

void CompactLog(RaftLog* log, Snapshot snapshot, std::size_t keep) {
  const std::uint64_t index = snapshot.index_.value();
  log->snapshot_ = std::move(snapshot);
  while (!log->entries_.empty() &&
         log->entries_.front().index_.value() + keep <= index) {
    const LogEntry& front = log->entries_.front();
    log->bytes_ -= EntryBytes(front);
    log->base_index_ = front.index_;
    log->base_term_ = front.term_;
    log->entries_.pop_front();
  }
  // Memberships older than the snapshot's can be dropped: their replacement is
  // committed. The newest one at or before the snapshot is the snapshot's.
  while (log->memberships_.size() > 1 &&
         log->memberships_[1].index_.value() <= index) {
    log->memberships_.erase(log->memberships_.begin());
  }
}

void ResetLog(RaftLog* log, Snapshot snapshot) {
  log->entries_.clear();
  log->bytes_ = 0;
  log->base_index_ = snapshot.index_;
  log->base_term_ = snapshot.term_;
  log->memberships_ = {{snapshot.index_, snapshot.membership_}};
  log->snapshot_ = std::move(snapshot);
}

}  // namespace flamingohollow
