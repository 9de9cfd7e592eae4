// Tests faults of the data folder: torn and corrupt files, full and failing
// disks, crashes between any two operations.

#include "flamingohollow/storage.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingohollow/disk_thread.h"
#include "flamingohollow/testing/fake_disk.h"

namespace flamingohollow::testing {
namespace {

namespace leaf = boost::leaf;

// A data folder that a test opens and closes.
class Folder {
 public:
  // Returns an empty string on success, else the error.
  std::string Open(const std::string& name = "control-0") {
    storage_.reset();
    StorageOptions options;
    options.folder_ = "data";
    options.name_ = NodeName(name);
    options.new_voter_id_ = VoterId(++last_id_);
    options.segment_bytes_ = 400;
    return Message([&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(
          storage_, Storage::Open(std::make_unique<FakeDisk>(files_), options));
      return {};
    });
  }
  std::string Write(StorageBatch batch) {
    return Message([&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(storage_->Write({std::move(batch)}));
      return {};
    });
  }
  std::string Append(std::uint64_t index, std::uint64_t term,
                     const std::string& command = "x") {
    StorageBatch batch;
    batch.append_.push_back(Entry(index, term, command));
    return Write(std::move(batch));
  }
  std::string Snapshot(std::uint64_t index, std::uint64_t term, bool reset) {
    StorageBatch batch;
    batch.snapshot_ = SaveSnapshot{
        .snapshot_ = {.index_ = LogIndex(index),
                      .term_ = Term(term),
                      .membership_ = {},
                      .data_ = std::make_shared<const std::string>("state")},
        .reset_log_ = reset};
    return Write(std::move(batch));
  }
  // Ends the process; the machine keeps running.
  void Kill() { storage_.reset(); }
  // Crashes the machine; unsynced data is lost.
  void Crash() {
    storage_.reset();
    files_->Crash([](std::uint64_t) { return std::uint64_t{0}; });
  }
  std::vector<std::uint64_t> Indices() {
    std::vector<std::uint64_t> indices;
    for (const LogEntry& entry : storage_->stored().entries_) {
      indices.push_back(entry.index_.value());
    }
    return indices;
  }
  StoredState& stored() { return storage_->stored(); }
  FakeFiles& files() { return *files_; }
  std::string& Bytes(const std::string& name) {
    return files_->names_.at("data/" + name)->data_;
  }
  std::size_t CountOf(const std::string& prefix) const {
    std::size_t count = 0;
    for (const auto& [path, file] : files_->names_) {
      if (path.starts_with("data/" + prefix)) ++count;
    }
    return count;
  }

 private:
  static LogEntry Entry(std::uint64_t index, std::uint64_t term,
                        const std::string& command) {
    LogEntry entry;
    entry.index_ = LogIndex(index);
    entry.term_ = Term(term);
    entry.command_ = command;
    return entry;
  }
  template <typename Body>
  static std::string Message(Body body) {
    std::string message;
    leaf::try_handle_all(
        std::move(body),
        [&](const StorageError& error) { message = error.message_; },
        [&] { message = "unknown error"; });
    return message;
  }

  std::shared_ptr<FakeFiles> files_ = std::make_shared<FakeFiles>();
  std::unique_ptr<Storage> storage_;
  std::uint64_t last_id_ = 0;
};

using Indices = std::vector<std::uint64_t>;
const std::string kFirstSegment = "log-00000000000000000001";

TEST_CASE("written state survives a crash across many segments") {
  Folder folder;
  REQUIRE(folder.Open() == "");
  StorageBatch batch;
  batch.hard_state_ =
      HardState{.term_ = Term(7), .vote_ = VoterId(3), .pledge_ = 9};
  REQUIRE(folder.Write(batch) == "");
  Indices all;
  for (std::uint64_t index = 1; index <= 50; ++index) {
    REQUIRE(folder.Append(index, 7) == "");
    all.push_back(index);
  }
  CHECK(folder.CountOf("log-") > 3);
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.Indices() == all);
  CHECK(folder.stored().hard_ == *batch.hard_state_);
  CHECK(folder.stored().id_ == VoterId(1));
  // A later entry with a lower index truncates the log at that index.
  REQUIRE(folder.Append(10, 8) == "");
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.Indices().size() == 10);
  CHECK(folder.stored().entries_.back().term_ == Term(8));
}

TEST_CASE("a folder of another voter or without identity is refused") {
  Folder folder;
  REQUIRE(folder.Open() == "");
  CHECK(folder.Open("control-1").find("belongs to control-0") !=
        std::string::npos);
  REQUIRE(folder.Open() == "");
  CHECK(folder.Append(1, 1) == "");
  folder.Kill();
  folder.files().names_.erase("data/identity");
  CHECK(folder.Open() == "data/identity is missing beside a log");
}

TEST_CASE("a frame torn at any byte is cut off and synced entries stay") {
  Folder original;
  REQUIRE(original.Open() == "");
  REQUIRE(original.Append(1, 1) == "");
  const std::size_t synced = original.Bytes(kFirstSegment).size();
  REQUIRE(original.Append(2, 1) == "");
  const std::string whole = original.Bytes(kFirstSegment);
  for (std::size_t size = synced; size < whole.size(); ++size) {
    CAPTURE(size);
    Folder folder;
    REQUIRE(folder.Open() == "");
    REQUIRE(folder.Append(1, 1) == "");
    REQUIRE(folder.Append(2, 1) == "");
    folder.Kill();
    folder.Bytes(kFirstSegment).resize(size);
    REQUIRE(folder.Open() == "");
    REQUIRE(folder.Indices() == Indices{1});
    REQUIRE(folder.Append(2, 2) == "");
    folder.Crash();
    REQUIRE(folder.Open() == "");
    REQUIRE(folder.Indices() == Indices{1, 2});
  }
}

TEST_CASE("damage before the last frame is an error with file and offset") {
  Folder original;
  REQUIRE(original.Open() == "");
  std::vector<std::size_t> starts;
  for (std::uint64_t index = 1; index <= 3; ++index) {
    starts.push_back(original.Bytes(kFirstSegment).size());
    REQUIRE(original.Append(index, 1) == "");
  }
  original.Kill();
  const std::string whole = original.Bytes(kFirstSegment);
  for (std::size_t at = starts[0]; at < starts[2]; ++at) {
    CAPTURE(at);
    original.Bytes(kFirstSegment) = whole;
    original.Bytes(kFirstSegment)[at] ^= 0x40;
    const std::size_t frame = at < starts[1] ? starts[0] : starts[1];
    REQUIRE(original.Open() == "data/" + kFirstSegment + " at offset " +
                                   std::to_string(frame) + " is damaged");
  }
  // Only the last segment may have a torn frame.
  original.Bytes(kFirstSegment) = whole;
  REQUIRE(original.Open() == "");
  for (std::uint64_t index = 4; index <= 20; ++index) {
    REQUIRE(original.Append(index, 1) == "");
  }
  original.Kill();
  original.Bytes(kFirstSegment).pop_back();
  CHECK(original.Open().find(kFirstSegment + " at offset") !=
        std::string::npos);
}

TEST_CASE("an unsynced entry of a killed process is synced by Open") {
  Folder folder;
  REQUIRE(folder.Open() == "");
  REQUIRE(folder.Append(1, 1) == "");
  // Written, then the sync fails.
  folder.files().fail_in_ = 1;
  folder.files().fail_code_ = EIO;
  CHECK(folder.Append(2, 1) != "");
  folder.Kill();
  folder.files().fail_in_ = -1;
  REQUIRE(folder.Open() == "");
  CHECK(folder.Indices() == Indices{1, 2});
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.Indices() == Indices{1, 2});
}

TEST_CASE("after a full or failing disk every later write is refused") {
  for (const int code : {ENOSPC, EIO}) {
    for (int operation = 0; operation < 2; ++operation) {
      CAPTURE(code);
      CAPTURE(operation);
      Folder folder;
      REQUIRE(folder.Open() == "");
      REQUIRE(folder.Append(1, 1) == "");
      folder.files().fail_in_ = operation;
      folder.files().fail_code_ = code;
      CHECK(folder.Append(2, 1).find(kFirstSegment) != std::string::npos);
      CHECK(folder.Append(2, 1) == "folder data failed before");
      folder.Crash();
      REQUIRE(folder.Open() == "");
      CHECK(folder.Indices() == Indices{1});
    }
  }
}

TEST_CASE("a snapshot shortens or replaces the log and bounds the folder") {
  Folder folder;
  REQUIRE(folder.Open() == "");
  for (std::uint64_t index = 1; index <= 200; ++index) {
    REQUIRE(folder.Append(index, 1) == "");
    if (index % 20 == 0) REQUIRE(folder.Snapshot(index - 5, 1, false) == "");
    REQUIRE(folder.CountOf("log-") < 12);
    REQUIRE(folder.CountOf("snapshot-") <= 1);
  }
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.stored().snapshot_.index_ == LogIndex(195));
  CHECK(*folder.stored().snapshot_.data_ == "state");
  CHECK(folder.Indices() == Indices{196, 197, 198, 199, 200});
  REQUIRE(folder.Snapshot(500, 3, true) == "");
  REQUIRE(folder.Append(501, 3) == "");
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.Indices() == Indices{501});
  folder.Kill();
  folder.Bytes("snapshot-00000000000000000500").back() ^= 1;
  CHECK(folder.Open() ==
        "data/snapshot-00000000000000000500 is damaged at offset 0");
}

TEST_CASE("a truncated log loads after its older segments were removed") {
  // The log is truncated to before the start of its newest segment.
  Folder folder;
  REQUIRE(folder.Open() == "");
  std::uint64_t index = 1;
  while (folder.CountOf("log-") < 2) REQUIRE(folder.Append(index++, 1) == "");
  REQUIRE(folder.Append(index, 1) == "");
  // Another leader replaces entries of the older segment as well.
  for (std::uint64_t next = index - 3; next <= index; ++next) {
    REQUIRE(folder.Append(next, 2) == "");
  }
  REQUIRE(folder.Snapshot(index - 1, 2, false) == "");
  folder.Kill();
  REQUIRE(folder.Open() == "");
  CHECK(folder.files().names_.count("data/" + kFirstSegment) == 0);
  CHECK(folder.Indices() == Indices{index});
}

// Crashes the machine at each disk operation of the write in turn.
TEST_CASE("a crash while a snapshot is saved keeps the old or the new state") {
  for (const bool reset : {false, true}) {
    for (int operation = 0; operation < 12; ++operation) {
      for (std::uint64_t kept : {0, 1}) {
        CAPTURE(reset);
        CAPTURE(operation);
        CAPTURE(kept);
        Folder folder;
        REQUIRE(folder.Open() == "");
        StorageBatch vote;
        vote.hard_state_ = HardState{.term_ = Term(4), .vote_ = VoterId(2)};
        REQUIRE(folder.Write(vote) == "");
        for (std::uint64_t index = 1; index <= 8; ++index) {
          REQUIRE(folder.Append(index, 1) == "");
        }
        REQUIRE(folder.Snapshot(3, 1, false) == "");
        folder.files().fail_in_ = operation;
        folder.files().fail_code_ = EIO;
        const bool done =
            folder.Snapshot(reset ? 20 : 6, reset ? 4 : 1, reset) == "";
        folder.Kill();
        // Unsynced names and bytes may or may not survive.
        folder.files().Crash(
            [kept](std::uint64_t below) { return kept == 0 ? 0 : below - 1; });
        REQUIRE(folder.Open() == "");
        CHECK(folder.stored().hard_.term_ == Term(4));
        CHECK(folder.stored().hard_.vote_ == VoterId(2));
        const LogIndex snapshot = folder.stored().snapshot_.index_;
        if (done) CHECK(snapshot == LogIndex(reset ? 20 : 6));
        const Indices indices = folder.Indices();
        if (snapshot == LogIndex(20)) {
          CHECK(indices.empty());
        } else {
          REQUIRE_FALSE(indices.empty());
          CHECK(indices.front() == snapshot.value() + 1);
          CHECK(indices.back() == 8);
        }
        CHECK(folder.Append(snapshot == LogIndex(20) ? 21 : 9, 4) == "");
      }
    }
  }
}

TEST_CASE("snapshots left by killed processes do not fill the disk") {
  Folder folder;
  REQUIRE(folder.Open() == "");
  for (std::uint64_t index = 1; index <= 40; ++index) {
    REQUIRE(folder.Append(index, 1) == "");
    if (index % 4 != 0) continue;
    // The process is killed before it can remove the previous snapshot.
    folder.files().fail_in_ = 5 + static_cast<int>(index / 4 % 4);
    folder.files().fail_code_ = EIO;
    folder.Snapshot(index, 1, false);
    folder.files().fail_in_ = -1;
    folder.Kill();
    REQUIRE(folder.Open() == "");
    CHECK(folder.CountOf("snapshot-") == 1);
    CHECK(folder.CountOf("log-") < 12);
  }
  // The removal is not undone by a crash that the snapshot itself survives.
  folder.Crash();
  REQUIRE(folder.Open() == "");
  CHECK(folder.stored().snapshot_.index_ == LogIndex(40));
}

TEST_CASE("DiskFull: a killed process starts again on a full disk") {
  for (const bool reset : {false, true}) {
    for (int operation = 0; operation < 12; ++operation) {
      CAPTURE(reset);
      CAPTURE(operation);
      Folder folder;
      REQUIRE(folder.Open() == "");
      StorageBatch vote;
      vote.hard_state_ = HardState{.term_ = Term(4), .vote_ = VoterId(2)};
      REQUIRE(folder.Write(vote) == "");
      for (std::uint64_t index = 1; index <= 8; ++index) {
        REQUIRE(folder.Append(index, 1) == "");
      }
      folder.files().fail_in_ = operation;
      folder.files().fail_code_ = ENOSPC;
      folder.Snapshot(reset ? 20 : 6, reset ? 4 : 1, reset);
      folder.files().fail_in_ = -1;
      folder.files().full_ = true;
      // The second start finds what the first one left.
      for (int start = 0; start < 2; ++start) {
        CAPTURE(start);
        folder.Kill();
        REQUIRE(folder.Open() == "");
        CHECK(folder.stored().hard_.term_ == Term(4));
        CHECK(folder.stored().hard_.vote_ == VoterId(2));
      }
      folder.files().full_ = false;
      const LogIndex snapshot = folder.stored().snapshot_.index_;
      const std::uint64_t next = snapshot == LogIndex(20) ? 21 : 9;
      CHECK(folder.Append(next, 4) == "");
      folder.Crash();
      REQUIRE(folder.Open() == "");
      CHECK(folder.stored().snapshot_.index_ == snapshot);
      CHECK(folder.stored().hard_.vote_ == VoterId(2));
      REQUIRE_FALSE(folder.Indices().empty());
      CHECK(folder.Indices().back() == next);
    }
  }
}

StorageBatch BatchOf(std::uint64_t index) {
  StorageBatch batch;
  batch.append_.push_back({.index_ = LogIndex(index),
                           .term_ = Term(1),
                           .command_ = "x",
                           .membership_ = {}});
  return batch;
}

TEST_CASE("a full disk delays writes, and nothing is lost or left in part") {
  auto files = std::make_shared<FakeFiles>();
  StorageOptions options;
  options.folder_ = "data";
  options.name_ = NodeName("control-0");
  options.new_voter_id_ = VoterId(1);
  const auto open = [&]() -> std::unique_ptr<Storage> {
    auto storage = Storage::Open(std::make_unique<FakeDisk>(files), options);
    return storage ? std::move(*storage) : nullptr;
  };
  auto storage = open();
  REQUIRE(storage != nullptr);
  std::atomic<std::size_t> synced = 0;
  std::atomic<int> failures = 0;
  const auto reaches = [](const std::function<bool()>& done) {
    for (int i = 0; i < 500 && !done(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return done();
  };
  {
    DiskThread disk(
        std::move(storage), [&](std::size_t count) { synced += count; },
        [&](const std::string&) { ++failures; });
    disk.Enqueue(BatchOf(1));
    REQUIRE(reaches([&] { return synced == 1; }));
    files->full_ = true;
    disk.Enqueue(BatchOf(2));
    REQUIRE(reaches([&] { return disk.full(); }));
    disk.Enqueue(BatchOf(3));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(synced == 1);
    files->full_ = false;
    CHECK(reaches([&] { return synced == 3; }));
    CHECK_FALSE(disk.full());
  }
  CHECK(failures == 0);
  storage = open();
  REQUIRE(storage != nullptr);
  CHECK(storage->stored().entries_.size() == 3);
}

TEST_CASE("a node with a full disk can stop") {
  auto files = std::make_shared<FakeFiles>();
  StorageOptions options;
  options.folder_ = "data";
  options.new_voter_id_ = VoterId(1);
  auto storage = Storage::Open(std::make_unique<FakeDisk>(files), options);
  REQUIRE(storage);
  DiskThread disk(
      std::move(*storage), [](std::size_t) {}, [](const std::string&) {});
  files->full_ = true;
  disk.Enqueue(BatchOf(1));
}

}  // namespace
}  // namespace flamingohollow::testing
