// Several replicas in one process over real data folders, with messages handed
// over in memory. For tests of the replica and for benches.
//
// The caller's thread is the control thread of all replicas: their code runs
// only within RunUntil.

#ifndef FLAMINGOHOLLOW_TESTING_REPLICA_GROUP_H_
#define FLAMINGOHOLLOW_TESTING_REPLICA_GROUP_H_

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/disk.h"
#include "flamingohollow/replica.h"
#include "flamingohollow/replica_factory.h"
#include "util/clock.h"

namespace flamingohollow::testing {

// A folder that is deleted with this object.
class TempFolder {
 public:
  TempFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "flamingohollow-XXXXXX")
            .string();
    path_ = mkdtemp(pattern.data());
  }
  ~TempFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Records the applied commands.
class RecordingOwner : public ReplicaOwner {
 public:
  void ApplyCommitted(LogIndex, std::string_view command) override {
    applied_.emplace_back(command);
    if (leads_) applied_as_leader_.emplace_back(command);
  }
  std::string EncodeSnapshot() override {
    std::string all;
    for (const std::string& command : applied_) all += command + '\n';
    return all;
  }
  bool RestoreSnapshot(std::string_view snapshot) override {
    applied_.clear();
    while (!snapshot.empty()) {
      const std::size_t end = snapshot.find('\n');
      applied_.emplace_back(snapshot.substr(0, end));
      snapshot.remove_prefix(end + 1);
    }
    return true;
  }
  void LeadershipGained(Term) override { leads_ = true; }
  void LeadershipLost() override { leads_ = false; }

  std::vector<std::string> applied_;
  // Those of them that were applied while the node led.
  std::vector<std::string> applied_as_leader_;
  bool leads_ = false;
};

class ReplicaGroup {
 public:
  struct Node {
    std::string name_;
    std::unique_ptr<RecordingOwner> owner_;
    // Null while the node is down.
    std::unique_ptr<Replica> replica_;
    // A suspended node gets no ticks, and its messages wait.
    bool suspended_ = false;
    std::vector<std::string> waiting_;
  };

  using MakeOwner = std::function<std::unique_ptr<RecordingOwner>()>;
  // Makes the disk of a node.
  using MakeDisk = std::function<std::unique_ptr<Disk>(std::size_t node)>;

  explicit ReplicaGroup(
      std::size_t size, ReplicaOptions options = {},
      MakeOwner make_owner = [] { return std::make_unique<RecordingOwner>(); },
      MakeDisk make_disk = [](std::size_t) { return MakePosixDisk(); })
      : options_(std::move(options)),
        make_owner_(std::move(make_owner)),
        make_disk_(std::move(make_disk)) {
    for (std::size_t i = 0; i < size; ++i) {
      nodes_.push_back({.name_ = "control-" + std::to_string(i),
                        .owner_ = nullptr,
                        .replica_ = nullptr,
                        .waiting_ = {}});
      options_.founders_.push_back(
          {NodeName(nodes_[i].name_), nodes_[i].name_});
    }
    for (std::size_t i = 0; i < size; ++i) Start(i);
  }
  ~ReplicaGroup() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) Stop(i);
  }
  ReplicaGroup(const ReplicaGroup&) = delete;
  ReplicaGroup& operator=(const ReplicaGroup&) = delete;

  // False, with `error()`, when the folder can't be opened.
  bool Start(std::size_t i) {
    Node& node = nodes_[i];
    ReplicaOptions options = options_;
    options.name_ = NodeName(node.name_);
    options.address_ = node.name_;
    options.data_folder_ = Folder(i);
    options.make_disk_ = [this, i] { return make_disk_(i); };
    node.owner_ = make_owner_();
    namespace leaf = boost::leaf;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_ASSIGN(
              node.replica_,
              MakeReplica(
                  std::move(options), node.owner_.get(),
                  [this](const std::string& to, std::string bytes) {
                    Post([this, to, bytes = std::move(bytes)]() mutable {
                      Deliver(to, std::move(bytes));
                    });
                  },
                  [this](std::function<void()> task) { Post(std::move(task)); },
                  MonotonicNow()));
          return {};
        },
        [this](const ReplicaError& error) { error_ = error.message_; },
        [this] { error_ = "unknown error"; });
    return node.replica_ != nullptr;
  }
  void Stop(std::size_t i) { nodes_[i].replica_.reset(); }
  void Suspend(Node& node) { node.suspended_ = true; }
  // The messages that waited are handled before the next tick.
  void Resume(Node& node) {
    node.suspended_ = false;
    for (std::string& bytes : std::exchange(node.waiting_, {})) {
      node.replica_->Receive(std::move(bytes));
    }
  }
  void Wipe(std::size_t i) { std::filesystem::remove_all(Folder(i)); }
  std::string Folder(std::size_t i) const {
    return folder_.path() + "/" + nodes_[i].name_;
  }

  // Handles messages, disk reports and ticks until `done` or the time is up.
  bool RunUntil(const std::function<bool()>& done,
                Duration limit = Duration(10'000)) {
    const Time end = MonotonicNow() + limit;
    while (!done()) {
      const Time now = MonotonicNow();
      if (now >= end) return false;
      if (now >= next_tick_) {
        for (Node& node : nodes_) {
          if (node.replica_ != nullptr && !node.suspended_) {
            node.replica_->Tick(now);
          }
        }
        next_tick_ = now + kTick;
      }
      RunPosted();
    }
    return true;
  }

  // The first running node whose owner was notified of leadership and that is
  // not suspended; null if there is none.
  Node* Leader() {
    for (Node& node : nodes_) {
      const bool runs = node.replica_ != nullptr && !node.suspended_;
      if (runs && node.owner_->leads_) return &node;
    }
    return nullptr;
  }
  bool Form() {
    bool formed = false;
    nodes_[0].replica_->Init(
        [&formed](bool ok, const std::string&) { formed = ok; });
    return RunUntil([&] { return formed && Leader() != nullptr; });
  }
  std::vector<Node>& nodes() { return nodes_; }
  const std::vector<Node>& nodes() const { return nodes_; }
  const std::string& error() const { return error_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t message_bytes() const { return message_bytes_; }

 private:
  static constexpr Duration kTick = Duration(10);

  void Post(std::function<void()> task) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      posted_.push_back(std::move(task));
    }
    changed_.notify_one();
  }
  void RunPosted() {
    std::deque<std::function<void()>> tasks;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, std::chrono::milliseconds(1),
                        [this] { return !posted_.empty(); });
      tasks.swap(posted_);
    }
    for (const std::function<void()>& task : tasks) task();
  }
  void Deliver(const std::string& to, std::string bytes) {
    ++messages_;
    message_bytes_ += bytes.size();
    for (Node& node : nodes_) {
      if (node.name_ != to || node.replica_ == nullptr) continue;
      if (node.suspended_) return node.waiting_.push_back(std::move(bytes));
      return node.replica_->Receive(std::move(bytes));
    }
  }

  TempFolder folder_;
  ReplicaOptions options_;
  MakeOwner make_owner_;
  MakeDisk make_disk_;
  std::vector<Node> nodes_;
  std::string error_;
  Time next_tick_;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by mutex_.
  std::deque<std::function<void()>> posted_;
};

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_REPLICA_GROUP_H_
