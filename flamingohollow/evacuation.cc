// Applies the operator's orders to the domains that are evacuated.

#include "flamingohollow/evacuation.h"

namespace flamingohollow {

bool IsEvacuated(const Evacuations& evacuations, const FailureDomain& domain) {
  const auto found = evacuations.find(domain);
  return found != evacuations.end() && found->second.in_force_;
}

void ApplyEvacuation(Evacuations& evacuations, const EvacuationOrder& order) {
  Evacuation& newest = evacuations[order.domain_];
  if (order.number_ != 0) {
    if (order.number_ <= newest.number_) return;
    newest.number_ = order.number_;
  }
  if (order.evacuate_ == newest.in_force_) return;
  newest.in_force_ = order.evacuate_;
  newest.ordered_ = order.ordered_;
}

}  // namespace flamingohollow
