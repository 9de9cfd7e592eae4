// What the leader knows of the entries: their leases on the table, the version
// each may still enforce, and the worker leases that they must not renew.
//
// Pure: no clock; `now` is the leader's monotonic time.
//
// How a lease is bounded. The leader proves at intervals that it leads: it asks
// a majority, and once they have answered it knows that it still led at some
// moment after it asked, `confirmed_at_`. An entry counts its lease from when
// it *sent* the sync, which is no later than when the leader received it, at
// `received`. The leader grants
//     table_lease_ - (received - confirmed_at_), at most table_lease_,
// so the lease ends no later than table_lease_ after a moment at which this
// node led. A leader elected later took office after that moment. It counts
// every entry that it doesn't know as holding a lease until table_lease_ plus
// the margin have gone by. This holds whatever a frozen or cut-off former
// leader believes of itself, and needs only that clocks run at nearly the same
// rate, which the margin covers.
//
// In force. A version is in force everywhere when no process can enforce an
// older one: every holder of a live lease has confirmed the version (or first
// got a lease together with it), and so has every unknown holder's lease
// lapsed. A holder is one incarnation of one entry, so that a restarted or
// replaced entry's former self is counted until its lease lapses.

#ifndef FLAMINGOHOLLOW_CONTROL_ENTRIES_H_
#define FLAMINGOHOLLOW_CONTROL_ENTRIES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct EntriesOptions {
  // How long an entry may enforce its table without hearing from control.
  Duration table_lease_ = Duration(3000);
  // Covers clocks that run at different rates.
  Duration clock_margin_ = Duration(500);
  // Holders beyond this many get no lease.
  std::size_t max_holders_ = 256;
};

// One incarnation of one entry.
struct HolderId {
  NodeName entry_;
  Incarnation incarnation_;

  friend bool operator==(const HolderId&, const HolderId&) = default;
  friend auto operator<=>(const HolderId&, const HolderId&) = default;
};

struct Holder {
  // Invariant: until lease_until_ the entry may enforce its table, but none
  // older than oldest_; after it, nothing until it gets another lease.
  TableVersion oldest_;
  Time lease_until_;
};

struct Entries {
  EntriesOptions options_;
  // Leases granted by former leaders have lapsed after this.
  Time unknown_until_;
  // When this node asked for the newest proof of leadership that it got.
  std::optional<Time> confirmed_at_;
  std::map<HolderId, Holder> holders_;

  // Jobs whose leases the entries must not renew. The version grows with each
  // change and, since the term is in its upper half, with each leader.
  std::uint64_t exclusions_version_ = 0;
  std::set<JobId> exclusions_;
};

// For a leader that took office at `now` or before.
Entries MakeEntries(const EntriesOptions& options, Term term, Time now);

// This node led at some moment at or after `asked_at`.
void ConfirmLeading(Entries& entries, Time asked_at);

// The entry says that it enforces `version` or a newer one; 0 for none.
void ConfirmVersion(Entries& entries, const HolderId& id, TableVersion version);

// The lease that may be granted now, with `version` of the table, to an entry
// whose sync was received at `received`; 0 for none.
Duration GrantLease(Entries& entries, const HolderId& id, TableVersion version,
                    Time received, Time now);

// Whether no entry can enforce a version older than `version`.
bool InForce(const Entries& entries, TableVersion version, Time now);

// Forgets holders whose leases have lapsed.
void DropLapsed(Entries& entries, Time now);

void SetExcluded(Entries& entries, JobId job, bool excluded);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_ENTRIES_H_
