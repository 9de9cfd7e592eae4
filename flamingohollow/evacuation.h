// Evacuation of failure domains: on the operator's order, no new tasks start on
// the workers of a domain until the operator takes the domain back.
//
// The orders are part of the replicated state, so an order is in force on a new
// leader before its first start. Tasks that already run in the domain continue.
// docs/design/evacuation.md has the reasons.

#ifndef FLAMINGOHOLLOW_EVACUATION_H_
#define FLAMINGOHOLLOW_EVACUATION_H_

#include <cstdint>
#include <map>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct Evacuation {
  // False once the domain was taken back.
  bool in_force_ = false;
  // The highest number of an order for the domain; 0 if none had a number.
  std::uint64_t number_ = 0;
  // When `in_force_` last changed: Unix time by the clock of the leader then.
  Time ordered_;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(in_force_, number_, ordered_);
  }
};

using Evacuations = std::map<FailureDomain, Evacuation>;

// An order to evacuate a domain, or to take it back.
struct EvacuationOrder {
  FailureDomain domain_;
  bool evacuate_ = true;
  // Orders with a number take effect in the order of their numbers, whenever
  // they arrive. Orders without one take effect as they arrive.
  std::uint64_t number_ = 0;
  Time ordered_;

  friend bool operator==(const EvacuationOrder&,
                         const EvacuationOrder&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain_, evacuate_, number_, ordered_);
  }
};

bool IsEvacuated(const Evacuations& evacuations, const FailureDomain& domain);

// Applies a committed order. An order whose number is not the highest yet
// changes nothing.
void ApplyEvacuation(Evacuations& evacuations, const EvacuationOrder& order);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_EVACUATION_H_
