// Holds exchanges open, collects commands and job updates for them, and answers
// the exchanges.

#include "flamingohollow/control_exchanges.h"

#include <utility>

namespace flamingohollow {

void EntryExchanges::Open(const EntrySync& sync, SyncResponder respond,
                          const LeaderView& view, Entries& entries, Time now) {
  const HolderId id{sync.entry_, sync.incarnation_};
  ConfirmVersion(entries, id, sync.table_version_);
  if (holder_states_.size() >= entries.options_.max_holders_ &&
      !holder_states_.contains(id)) {
    respond(ControlSync{});
    return;
  }
  HolderState& holder_state = holder_states_[id];
  if (sync.sequence_ < holder_state.sequence_) {
    respond(ControlSync{});
    return;
  }
  holder_state.sequence_ = sync.sequence_;
  if (holder_state.open_) Answer(id, holder_state, view, entries, now);

  OpenExchange open;
  open.respond_ = std::move(respond);
  open.received_ = now;
  open.table_version_ = sync.table_version_;
  open.exclusions_version_ = sync.exclusions_version_;
  for (const WorkerReport& report : sync.reports_) {
    open.acknowledged_.push_back(report.worker_);
  }
  open.needs_all_reports_ = !SetRoutes(sync, id, now);
  holder_state.open_ = std::move(open);
  SetWatched(holder_state, sync.watched_);
}

bool EntryExchanges::SetRoutes(const EntrySync& sync, const HolderId& id,
                               Time now) {
  for (const WorkerReport& report : sync.reports_) {
    SetRoute(report.worker_, id).reported_ = true;
  }
  bool all_reported = true;
  for (const WorkerId& worker : sync.alive_) {
    all_reported = SetRoute(worker, id).reported_ && all_reported;
  }
  HolderState& holder_state = holder_states_[id];
  for (const WorkerId& worker : sync.silent_) {
    holder_state.workers_.erase(worker);
    ReassignRoute(worker, id);
  }
  for (const WorkerId& worker : holder_state.workers_)
    routes_[worker].last_heard_at_ = now;
  return all_reported;
}

EntryExchanges::Route& EntryExchanges::SetRoute(const WorkerId& worker,
                                                const HolderId& id) {
  Route& route = routes_[worker];
  route.holder_ = id;
  holder_states_[id].workers_.insert(worker);
  return route;
}

// Moves the route to another entry that the worker is in contact with, if any.
// That entry may have named the worker earlier, because exchanges of different
// entries can arrive in any order.
void EntryExchanges::ReassignRoute(const WorkerId& worker, const HolderId& id) {
  const auto route = routes_.find(worker);
  if (route == routes_.end() || route->second.holder_ != id) return;
  for (const auto& [other, holder_state] : holder_states_) {
    if (holder_state.workers_.contains(worker)) route->second.holder_ = other;
  }
}

std::vector<WorkerId> EntryExchanges::WorkersOf(const EntrySync& sync) const {
  const auto holder_state =
      holder_states_.find({sync.entry_, sync.incarnation_});
  if (holder_state == holder_states_.end() ||
      holder_state->second.sequence_ != sync.sequence_) {
    return {};
  }
  const std::set<WorkerId>& workers = holder_state->second.workers_;
  return {workers.begin(), workers.end()};
}

void EntryExchanges::SetWatched(HolderState& holder_state,
                                const std::vector<JobId>& watched) {
  std::map<JobId, std::optional<SentState>> next;
  for (const JobId job : watched) {
    const auto before = holder_state.watched_.find(job);
    std::optional<SentState>& sent = next[job];
    if (before != holder_state.watched_.end()) sent = before->second;
    // An entry that still watches an ended job has not received its end; send
    // it again.
    if (sent && IsTerminal(sent->outcome_)) sent.reset();
  }
  holder_state.watched_ = std::move(next);
  holder_state.changed_ = watched;
}

void EntryExchanges::QueueCommand(const WorkerCommand& command, Time now) {
  const auto route = routes_.find(command.worker_);
  const auto holder_state = route == routes_.end()
                                ? holder_states_.end()
                                : holder_states_.find(route->second.holder_);
  if (holder_state == holder_states_.end()) {
    ++counters_.commands_without_route_;
    return;
  }
  // A repeated command replaces the queued copy.
  const CommandKey key(command.worker_, command.job_, command.attempt_,
                       command.task_, command.kind_);
  auto& commands = holder_state->second.commands_;
  if (commands.size() >= kMaxCommands && !commands.contains(key)) {
    ++counters_.commands_dropped_;
    return;
  }
  commands[key] = {command, now};
}

void EntryExchanges::DropOldCommands(HolderState& holder_state, Time now) {
  std::erase_if(holder_state.commands_, [&](const auto& queued) {
    return now - queued.second.queued_at_ > kCommandLifetime;
  });
}

void EntryExchanges::JobChanged(JobId job) {
  for (auto& [id, holder_state] : holder_states_) {
    if (holder_state.watched_.contains(job))
      holder_state.changed_.push_back(job);
  }
}

void EntryExchanges::GatherJobUpdates(HolderState& holder_state,
                                      const LeaderView& view) {
  for (const JobId job : std::exchange(holder_state.changed_, {})) {
    const auto watched = holder_state.watched_.find(job);
    if (watched == holder_state.watched_.end()) continue;
    const std::optional<JobView> update = ViewJob(*view.controller_, job);
    if (!update) continue;
    const SentState current{update->outcome_, update->attempt_};
    if (watched->second == current) continue;
    watched->second = current;
    holder_state.job_updates_[job] = *update;
  }
}

bool EntryExchanges::IsDue(const HolderState& holder_state,
                           const LeaderView& view, const Entries& entries,
                           Time now) {
  const OpenExchange& open = *holder_state.open_;
  if (now - open.received_ >= kMaxHold) return true;
  // No lease can be granted yet; wait so that the answer can carry one.
  if (!entries.confirmed_at_) return false;
  return !holder_state.answered_once_ || !holder_state.commands_.empty() ||
         !holder_state.job_updates_.empty() || !open.acknowledged_.empty() ||
         open.needs_all_reports_ ||
         open.table_version_ < view.table_->version_ ||
         open.exclusions_version_ != entries.exclusions_version_;
}

void EntryExchanges::Answer(const HolderId& id, HolderState& holder_state,
                            const LeaderView& view, Entries& entries,
                            Time now) {
  OpenExchange open = std::move(*holder_state.open_);
  holder_state.open_.reset();

  ControlSync sync;
  sync.is_leader_ = true;
  sync.term_ = view.term_;
  sync.table_version_ = view.table_->version_;
  if (open.table_version_ < view.table_->version_) {
    sync.table_ = RowsOnly(*view.table_);
  }
  // An entry with a newer table was in contact with a later leader, so it gets
  // no lease from this one.
  if (open.table_version_ <= view.table_->version_) {
    sync.lease_ =
        GrantLease(entries, id, sync.table_version_, open.received_, now);
  }
  sync.exclusions_version_ = entries.exclusions_version_;
  if (open.exclusions_version_ != entries.exclusions_version_) {
    sync.exclusions_.emplace(entries.exclusions_.begin(),
                             entries.exclusions_.end());
  }
  sync.worker_lease_ = view.worker_lease_;
  sync.acknowledged_ = std::move(open.acknowledged_);
  sync.send_all_reports_ =
      !holder_state.answered_once_ || open.needs_all_reports_;
  DropOldCommands(holder_state, now);
  for (auto& [key, queued] : std::exchange(holder_state.commands_, {})) {
    sync.commands_.push_back(std::move(queued.command_));
  }
  for (auto& [job, update] : std::exchange(holder_state.job_updates_, {})) {
    sync.jobs_.push_back(std::move(update));
  }
  holder_state.answered_once_ = true;
  ++counters_.answered_;
  counters_.commands_ += sync.commands_.size();
  open.respond_(sync);
}

void EntryExchanges::AnswerDue(const LeaderView& view, Entries& entries,
                               Time now) {
  for (auto& [id, holder_state] : holder_states_) {
    if (!holder_state.open_) continue;
    GatherJobUpdates(holder_state, view);
    if (IsDue(holder_state, view, entries, now)) {
      Answer(id, holder_state, view, entries, now);
    }
  }
}

void EntryExchanges::AnswerAll(const ControlSync& sync) {
  for (auto& [id, holder_state] : holder_states_) {
    if (!holder_state.open_) continue;
    const SyncResponder respond = std::move(holder_state.open_->respond_);
    holder_state.open_.reset();
    respond(sync);
  }
}

void EntryExchanges::Prune(const Entries& entries, Time now) {
  std::erase_if(routes_, [&](const auto& route) {
    return now - route.second.last_heard_at_ > kRouteLifetime;
  });
  for (auto& [id, holder_state] : holder_states_)
    DropOldCommands(holder_state, now);
  std::erase_if(holder_states_, [&](const auto& item) {
    return !item.second.open_ && !entries.holders_.contains(item.first);
  });
}

}  // namespace flamingohollow
