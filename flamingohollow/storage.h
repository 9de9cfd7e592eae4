// The data folder of one voter: identity, log, term and vote, snapshots.
//
// Files:
//   lock               held while a process uses the folder
//   identity           the identity of this folder's voter; written once
//   log-<sequence>     segments of the log, oldest first
//   snapshot-<index>   all applied state up to that index; the newest is used
//   *.new              not finished; removed at the next start
//
// A segment is a sequence of frames. One `Write` writes one frame: a header
// (magic, size, sequence, checksums) and a sequence of records. Each frame
// is synced before the next is written, so a crash can tear only the last one
// of the last segment: it is cut off at the next start. An invalid frame with a
// valid one after it, or in an older segment, is corruption, and the start
// fails: acknowledged entries may be missing, and voting without them could
// lose them on all voters. A last frame that was synced and damaged later looks
// the same as a torn one and is cut off too.
//
// Each segment opens with the index and term of the last entry before it and
// the hard state, so older segments can be removed once a snapshot covers them.
// An entry record replaces the log from its index on.
//
// Cost: a write is one append and one sync; a start reads the folder once.

#ifndef FLAMINGOHOLLOW_STORAGE_H_
#define FLAMINGOHOLLOW_STORAGE_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/disk.h"
#include "flamingohollow/peer_codec.h"
#include "flamingohollow/raft.h"
#include "flamingohollow/raft_log.h"
#include "flamingohollow/types.h"

namespace flamingohollow {

struct StorageError {
  // Names the file, the offset where there is one, and what is wrong.
  std::string message_;
};

struct StorageOptions {
  std::string folder_;
  // The group and voter that the folder must belong to.
  GroupId group_;
  NodeName name_;
  // The identity that a new folder gets.
  VoterId new_voter_id_;
  // A segment is closed once it is larger.
  std::size_t segment_bytes_ = std::size_t{8} * 1024 * 1024;
};

// What a folder held when it was opened.
struct StoredState {
  VoterId id_;
  HardState hard_;
  // Index 0 for none.
  Snapshot snapshot_;
  // Contiguous, from the entry after the snapshot.
  std::vector<LogEntry> entries_;
};

// One batch of writes; see Actions for their order.
struct StorageBatch {
  std::optional<HardState> hard_state_;
  std::optional<SaveSnapshot> snapshot_;
  std::vector<LogEntry> append_;
};

class Storage {
 public:
  // Opens the folder or creates it. `disk` is used by one thread at a time.
  static boost::leaf::result<std::unique_ptr<Storage>> Open(
      std::unique_ptr<Disk> disk, const StorageOptions& options);

  // The state found by Open; the caller may move it out.
  StoredState& stored() { return stored_; }

  // Called while the disk is full, on the thread that writes. True to try
  // again, false to give up. Without it a full disk is an error.
  void SetWaitForRoom(std::function<bool()> wait) {
    wait_for_room_ = std::move(wait);
  }

  // Writes the batches in order and syncs once. On an error none of them may
  // be acknowledged, and every later call fails: the disk's state is
  // unknown from then on.
  boost::leaf::result<void> Write(const std::vector<StorageBatch>& batches);

  // Bytes of the segments and the snapshot.
  std::uint64_t bytes_on_disk() const;

 private:
  struct Segment {
    std::uint64_t sequence_ = 0;
    std::uint64_t bytes_ = 0;
    // The highest index that this segment holds an entry for.
    LogIndex max_index_;
  };

  Storage(std::unique_ptr<Disk> disk, StorageOptions options);

  std::string Path(std::string_view name) const;
  std::string SegmentPath(std::uint64_t sequence) const;

  boost::leaf::result<void> Load();
  boost::leaf::result<void> LoadIdentity(const std::vector<std::string>& names);
  boost::leaf::result<void> MakeIdentity();
  boost::leaf::result<void> LoadSnapshot(const std::vector<std::string>& names);
  boost::leaf::result<void> LoadSegments(const std::vector<std::string>& names);
  boost::leaf::result<void> LoadSegment(std::uint64_t sequence, bool last);
  boost::leaf::result<void> LoadFrame(std::string_view payload,
                                      Segment* segment,
                                      const std::string& where);
  void LoadBase(const DiskBase& base);
  std::optional<Term> LoadedTermAt(LogIndex index) const;
  boost::leaf::result<void> LoadEntry(LogEntry entry, const std::string& where);
  boost::leaf::result<void> ReconcileLogAndSnapshot();

  boost::leaf::result<void> WriteAll(const std::vector<StorageBatch>& batches);
  boost::leaf::result<void> WriteSnapshot(const SaveSnapshot& save);
  boost::leaf::result<void> StartSegment(LogIndex base, Term base_term);
  // Makes a segment the newest one; its file is created by OpenSegment.
  void AddSegment(LogIndex base, Term base_term);
  // Writes the frame that opens the newest segment.
  boost::leaf::result<void> OpenSegment();
  boost::leaf::result<void> Flush();
  // Appends to a file that holds `size` bytes. While the disk is full, waits
  // for room and leaves no part of `bytes` behind.
  boost::leaf::result<void> AppendWhole(const std::string& path,
                                        std::uint64_t size,
                                        std::string_view bytes);
  boost::leaf::result<void> WriteFileAtomically(const std::string& name,
                                                std::string_view bytes);
  boost::leaf::result<void> RemoveCoveredSegments();

  std::unique_ptr<Disk> disk_;
  const StorageOptions options_;
  StoredState stored_;
  // Oldest first; new frames are appended to the last one.
  std::vector<Segment> segments_;
  // The newest segment lacks its opening frame; the next Write adds it.
  bool opening_due_ = false;
  // Encoded records of the frame that is being built.
  std::string pending_records_;
  // Sequence of the next frame; grows by one from frame to frame over all
  // segments.
  std::uint64_t next_frame_ = 1;
  HardState hard_;
  LogIndex last_index_;
  Term last_term_;
  LogIndex snapshot_index_;
  std::uint64_t snapshot_bytes_ = 0;
  bool failed_ = false;
  std::function<bool()> wait_for_room_;

  // While loading: the entry just before the log read so far.
  LogIndex base_index_;
  Term base_term_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_STORAGE_H_
