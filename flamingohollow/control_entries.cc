// Grants table leases and computes which table version is in force.

#include "flamingohollow/control_entries.h"

#include <algorithm>

namespace flamingohollow {
namespace {

constexpr int kTermShift = 32;

}  // namespace

Entries MakeEntries(const EntriesOptions& options, Term term, Time now) {
  Entries entries;
  entries.options_ = options;
  entries.former_leases_until_ =
      now + options.table_lease_ + options.clock_margin_;
  entries.exclusions_version_ = (term.value() << kTermShift) + 1;
  return entries;
}

void ConfirmLeading(Entries& entries, Time requested_at) {
  if (!entries.confirmed_at_ || *entries.confirmed_at_ < requested_at) {
    entries.confirmed_at_ = requested_at;
  }
}

void ConfirmVersion(Entries& entries, const HolderId& id,
                    TableVersion version) {
  const auto found = entries.holders_.find(id);
  if (found == entries.holders_.end()) return;
  // Syncs may arrive out of order; an entry never returns to an older version.
  found->second.oldest_version_ =
      std::max(found->second.oldest_version_, version);
}

Duration GrantLease(Entries& entries, const HolderId& id, TableVersion version,
                    Time received, Time now) {
  if (!entries.confirmed_at_) return Duration(0);
  const EntriesOptions& options = entries.options_;
  const Duration confirmation_age =
      std::max(received - *entries.confirmed_at_, Duration(0));
  const Duration lease = options.table_lease_ - confirmation_age;
  if (lease <= Duration(0)) return Duration(0);

  const auto found = entries.holders_.find(id);
  if (found == entries.holders_.end() &&
      entries.holders_.size() >= options.max_holders_) {
    return Duration(0);
  }
  Holder& holder = entries.holders_[id];
  // Without a live lease the entry enforces no table; from now on it enforces
  // the version sent with this lease.
  if (holder.lease_until_ <= now) holder.oldest_version_ = version;
  holder.lease_until_ =
      std::max(holder.lease_until_, received + lease + options.clock_margin_);
  return lease;
}

bool InForce(const Entries& entries, TableVersion version, Time now) {
  if (now < entries.former_leases_until_) return false;
  return std::all_of(
      entries.holders_.begin(), entries.holders_.end(), [&](const auto& entry) {
        const Holder& holder = entry.second;
        return holder.lease_until_ <= now || holder.oldest_version_ >= version;
      });
}

void DropExpired(Entries& entries, Time now) {
  std::erase_if(entries.holders_, [&](const auto& entry) {
    return entry.second.lease_until_ <= now;
  });
}

void SetExcluded(Entries& entries, JobId job, bool excluded) {
  const bool changed = excluded ? entries.exclusions_.insert(job).second
                                : entries.exclusions_.erase(job) > 0;
  if (changed) ++entries.exclusions_version_;
}

}  // namespace flamingohollow
