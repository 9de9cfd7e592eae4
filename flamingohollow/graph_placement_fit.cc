// Fitting the tasks of a unit into the room of workers.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::uint32_t TasksHere(const Room& room, const Unit& unit) {
  const auto found =
      room.tasks_.find({unit.job_->key_, unit.occurrence_, unit.index_});
  return found == room.tasks_.end() ? 0 : found->second;
}

bool Allowed(const Room& room, const Unit& unit) {
  if (!room.usable_) return false;
  return Suits(room.worker_->report_, *unit.spec_, unit.job_->terms_.pool_);
}

// Urgent units have the least time to spare and get the fastest workers. To the
// others a slow one is as good, as long as nothing is wrong with it.
int RankPace(const Room& room, const Unit& unit) {
  const int pace = static_cast<int>(room.pace_);
  if (unit.job_->terms_.priority_ == 0) return pace;
  return room.pace_ == PaceClass::kVerySlow ? 1 : 0;
}

FitRank RankFit(const Room& room, const Unit& unit, const Resources& left) {
  const bool away = IsAwayFromData(*unit.spec_, room.worker_->report_.rack_);
  return {away, RankPace(room, unit), left.accelerators_, left.memory_mb_};
}

std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit) {
  if (!Fits(need, free)) return 0;
  const auto times = [&limit](std::int64_t one, std::int64_t all) {
    if (one > 0) {
      limit = std::min(limit, static_cast<std::uint64_t>(all / one));
    }
  };
  times(need.millicores_, free.millicores_);
  times(need.memory_mb_, free.memory_mb_);
  times(need.accelerators_, free.accelerators_);
  return limit;
}

// Tasks of the unit's step that the room may take beside those it has.
std::uint64_t TasksAllowed(const Room& room, const Unit& unit) {
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  if (limit == 0) return unit.tasks_.size();
  const std::uint32_t here = TasksHere(room, unit);
  return here >= limit ? 0 : limit - here;
}

// A room where tasks of a unit still fit.
struct Candidate {
  std::size_t room_ = 0;
  Resources free_;
  std::uint64_t fits_ = 0;
};

std::vector<Candidate> FindCandidates(const Pass& pass, const Unit& unit,
                                      const std::vector<std::size_t>& rooms,
                                      const RoomView& view) {
  const Resources need = ReservedResources(*unit.spec_);
  std::vector<Candidate> candidates;
  for (const std::size_t index : rooms) {
    const Room& room = pass.rooms_[index];
    if (!Allowed(room, unit)) continue;
    const Resources free = view(index);
    const std::uint64_t fits = CountFits(need, free, TasksAllowed(room, unit));
    if (fits > 0) candidates.push_back({index, free, fits});
  }
  return candidates;
}

std::uint64_t SumFits(const std::vector<Candidate>& candidates) {
  std::uint64_t sum = 0;
  for (const Candidate& candidate : candidates) sum += candidate.fits_;
  return sum;
}

// Puts the unit's tasks one by one where they fit best among `rooms`; one room
// a task, or nothing when not all fit.
std::optional<std::vector<std::size_t>> FitAmong(
    const Pass& pass, const Unit& unit, const std::vector<std::size_t>& rooms,
    const RoomView& view) {
  std::vector<Candidate> candidates = FindCandidates(pass, unit, rooms, view);
  if (SumFits(candidates) < unit.tasks_.size()) return std::nullopt;
  const Resources need = ReservedResources(*unit.spec_);
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    Candidate* best = nullptr;
    FitRank best_cost;
    for (Candidate& candidate : candidates) {
      if (candidate.fits_ == 0) continue;
      const FitRank cost =
          RankFit(pass.rooms_[candidate.room_], unit, candidate.free_ - need);
      if (best != nullptr && best_cost <= cost) continue;
      best = &candidate;
      best_cost = cost;
    }
    best->free_ = best->free_ - need;
    --best->fits_;
    chosen.push_back(best->room_);
  }
  return chosen;
}

bool WantsOneRack(const Unit& unit) {
  return unit.spec_->same_rack_ && unit.tasks_.size() > 1;
}

std::vector<std::size_t> AllRooms(const Pass& pass) {
  std::vector<std::size_t> all(pass.rooms_.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

std::int64_t FreeAccelerators(const std::vector<std::size_t>& rooms,
                              const RoomView& view) {
  std::int64_t sum = 0;
  for (const std::size_t room : rooms) sum += view(room).accelerators_;
  return sum;
}

// The rack with the least left over that holds the whole unit.
std::optional<std::vector<std::size_t>> FitOneRack(const Pass& pass,
                                                   const Unit& unit,
                                                   const RoomView& view) {
  std::optional<std::vector<std::size_t>> best;
  std::tuple<bool, int, std::int64_t> best_cost;
  for (const auto& [rack, rooms] : pass.racks_) {
    auto fit = FitAmong(pass, unit, rooms, view);
    if (!fit.has_value()) continue;
    const bool away = IsAwayFromData(*unit.spec_, rack);
    int pace = 0;
    for (const std::size_t room : *fit) {
      pace = std::max(pace, RankPace(pass.rooms_[room], unit));
    }
    const std::tuple cost(away, pace, FreeAccelerators(rooms, view));
    if (best.has_value() && best_cost <= cost) continue;
    best = std::move(fit);
    best_cost = cost;
  }
  return best;
}

// Whether the rooms could hold the unit if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& rooms) {
  const RoomView whole = [&pass](std::size_t room) {
    return pass.rooms_[room].worker_->report_.capacity_;
  };
  return SumFits(FindCandidates(pass, unit, rooms, whole)) >=
         unit.tasks_.size();
}

bool SomeRackCouldHold(const Pass& pass, const Unit& unit) {
  return std::any_of(
      pass.racks_.begin(), pass.racks_.end(),
      [&](const auto& rack) { return CouldHold(pass, unit, rack.second); });
}

std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const RoomView& view,
                                                bool spread) {
  if (WantsOneRack(unit)) {
    if (auto fit = FitOneRack(pass, unit, view)) return fit;
    if (!spread) return std::nullopt;
  }
  return FitAmong(pass, unit, AllRooms(pass), view);
}

}  // namespace flamingohollow::graph_placement_internal
