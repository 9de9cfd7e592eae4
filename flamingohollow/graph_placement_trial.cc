// Fitting a unit once some of what runs is gone, at the least cost.

#include <algorithm>
#include <limits>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::int64_t LostWork(const Group& group) { return group.lost_; }
std::int64_t WaitForEnd(const Group& group) { return group.remaining_ms_; }

namespace {

// Where a trial stands.
struct TrialRooms {
  // Room that the trial's groups free, less what its tasks take.
  std::map<std::size_t, Resources> change_;
  std::map<std::size_t, std::uint32_t> tasks_;
};

struct RoomOffer {
  std::size_t room_ = 0;
  std::vector<std::size_t> groups_;
  std::int64_t cost_ = 0;
  Resources left_;
};

bool MayCount(const Pass& pass, const Group& group, const Unit& unit,
              const TrialRules& rules) {
  return rules.stop_ ? MayStop(pass, group, unit) : !group.taken_;
}

Resources NeedIn(const Group& group, std::size_t room) {
  Resources sum;
  for (const Group::Member& member : group.members_) {
    if (member.room_ == room) sum = sum + member.need_;
  }
  return sum;
}

// The cheapest groups of the room that make it fit `need`, or nothing.
std::optional<RoomOffer> OfferRoom(const Pass& pass, const Unit& unit,
                                   const TrialRules& rules, const Trial& trial,
                                   const TrialRooms& rooms, std::size_t room,
                                   const Resources& need) {
  RoomOffer offer;
  offer.room_ = room;
  Resources free = pass.rooms_[room].soon_;
  const auto change = rooms.change_.find(room);
  if (change != rooms.change_.end()) free = free + change->second;
  if (Fits(need, free)) {
    offer.left_ = free - need;
    return offer;
  }
  const auto& groups = rules.stop_ ? pass.by_loss_[room] : pass.by_end_[room];
  for (const std::size_t index : groups) {
    if (Fits(need, free)) break;
    const Group& group = pass.groups_[index];
    if (trial.groups_.contains(index)) continue;
    if (!MayCount(pass, group, unit, rules)) continue;
    free = free + NeedIn(group, room);
    offer.groups_.push_back(index);
  }
  if (!Fits(need, free)) return std::nullopt;
  // Groups that turned out not to be needed, the dearest first.
  for (std::size_t i = offer.groups_.size(); i-- > 0;) {
    const Resources own = NeedIn(pass.groups_[offer.groups_[i]], room);
    if (!Fits(need, free - own)) continue;
    free = free - own;
    offer.groups_.erase(offer.groups_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const std::size_t index : offer.groups_) {
    offer.cost_ += rules.cost_(pass.groups_[index]);
  }
  offer.left_ = free - need;
  return offer;
}

std::optional<RoomOffer> BestOffer(const Pass& pass, const Unit& unit,
                                   const TrialRules& rules, const Trial& trial,
                                   TrialRooms& rooms,
                                   const std::vector<std::size_t>& among) {
  const Resources need = ReservedResources(*unit.spec_);
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  std::optional<RoomOffer> best;
  for (const std::size_t room : among) {
    if (!Allowed(pass.rooms_[room], unit)) continue;
    const bool full =
        limit > 0 &&
        TasksHere(pass.rooms_[room], unit) + rooms.tasks_[room] >= limit;
    if (full) continue;
    auto offer = OfferRoom(pass, unit, rules, trial, rooms, room, need);
    if (!offer.has_value()) continue;
    const auto key = [&](const RoomOffer& o) {
      return std::tuple(o.cost_, RankFit(pass.rooms_[o.room_], unit, o.left_));
    };
    if (!best.has_value() || key(*offer) < key(*best)) best = std::move(offer);
  }
  return best;
}

constexpr std::int64_t kNoCostLimit = std::numeric_limits<std::int64_t>::max();

// Nothing when not all tasks fit, or only at `limit` or more.
std::optional<Trial> TryAmong(const Pass& pass, const Unit& unit,
                              const TrialRules& rules,
                              const std::vector<std::size_t>& among,
                              std::int64_t limit) {
  const Resources need = ReservedResources(*unit.spec_);
  Trial trial;
  TrialRooms rooms;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    const auto offer = BestOffer(pass, unit, rules, trial, rooms, among);
    if (!offer.has_value()) return std::nullopt;
    for (const std::size_t index : offer->groups_) {
      trial.groups_.insert(index);
      for (const Group::Member& member : pass.groups_[index].members_) {
        rooms.change_[member.room_] =
            rooms.change_[member.room_] + member.need_;
      }
    }
    rooms.change_[offer->room_] = rooms.change_[offer->room_] - need;
    ++rooms.tasks_[offer->room_];
    trial.chosen_.push_back(offer->room_);
    trial.cost_ += offer->cost_;
    if (trial.cost_ >= limit) return std::nullopt;
  }
  return trial;
}

}  // namespace

std::optional<Trial> TryUnit(const Pass& pass, const Unit& unit,
                             const TrialRules& rules, bool spread) {
  if (!WantsOneRack(unit) || spread) {
    return TryAmong(pass, unit, rules, AllRooms(pass), kNoCostLimit);
  }
  std::optional<Trial> best;
  std::int64_t limit = kNoCostLimit;
  for (const auto& [rack, rooms] : pass.racks_) {
    if (!CouldHold(pass, unit, rooms)) continue;
    auto trial = TryAmong(pass, unit, rules, rooms, limit);
    if (!trial.has_value()) continue;
    limit = trial->cost_;
    best = std::move(trial);
  }
  return best;
}

}  // namespace flamingohollow::graph_placement_internal
