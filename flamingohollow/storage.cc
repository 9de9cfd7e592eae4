// Loading and writing the data folder.

#include "flamingohollow/storage.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <system_error>
#include <utility>

#include "flamingohollow/peer_codec.h"
#include "flamingohollow/storage_frame.h"

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kLockName = "lock";
constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kUnfinishedSuffix = ".new";

leaf::error_id Error(std::string message) {
  return leaf::new_error(StorageError{std::move(message)});
}

std::string Describe(const DiskError& error) {
  if (error.operation_ == "lock" && error.code_ == EWOULDBLOCK) {
    return fmt::format("another process uses the folder: {} is locked",
                       error.path_);
  }
  return fmt::format("{} {}: {}", error.operation_, error.path_,
                     std::system_category().message(error.code_));
}

// Runs `body` and converts its disk errors to storage errors.
template <typename Body>
auto ConvertDiskErrors(Body body) -> decltype(body()) {
  using Result = decltype(body());
  return leaf::try_handle_some(
      std::move(body),
      [](const DiskError& error) -> Result { return Error(Describe(error)); });
}

bool IsFull(const DiskError& error) {
  return error.code_ == ENOSPC || error.code_ == EDQUOT;
}

leaf::result<void> TruncateIfPresent(Disk& disk, const std::string& path,
                                     std::uint64_t size) {
  return leaf::try_handle_some(
      [&] { return disk.Truncate(path, size); },
      [](const DiskError& error,
         const leaf::error_info& info) -> leaf::result<void> {
        if (error.code_ != ENOENT) return info.error();
        return {};
      });
}

// The number in a name like "log-00000000000000000012"; empty if the name has
// another form.
std::optional<std::uint64_t> ParseFileNumber(std::string_view name,
                                             std::string_view prefix) {
  if (!name.starts_with(prefix)) return std::nullopt;
  name.remove_prefix(prefix.size());
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc() || end != name.data() + name.size()) {
    return std::nullopt;
  }
  return number;
}

// Zero-padded, so that names sort as their numbers do.
std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  return fmt::format("{}{:020}", prefix, number);
}

std::vector<std::uint64_t> NumbersOf(const std::vector<std::string>& names,
                                     std::string_view prefix) {
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : names) {
    const std::optional<std::uint64_t> number = ParseFileNumber(name, prefix);
    if (number.has_value()) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

std::string ParentFolder(const std::string& folder) {
  const std::string parent =
      std::filesystem::path(folder).parent_path().string();
  return parent.empty() ? "." : parent;
}

}  // namespace

Storage::Storage(std::unique_ptr<Disk> disk, StorageOptions options)
    : disk_(std::move(disk)), options_(std::move(options)) {}

std::string Storage::Path(std::string_view name) const {
  return fmt::format("{}/{}", options_.folder_, name);
}

std::string Storage::SegmentPath(std::uint64_t sequence) const {
  return Path(NumberedName(kSegmentPrefix, sequence));
}

leaf::result<std::unique_ptr<Storage>> Storage::Open(
    std::unique_ptr<Disk> disk, const StorageOptions& options) {
  std::unique_ptr<Storage> storage(new Storage(std::move(disk), options));
  BOOST_LEAF_CHECK(ConvertDiskErrors([&storage] { return storage->Load(); }));
  return storage;
}

leaf::result<void> Storage::Load() {
  BOOST_LEAF_CHECK(disk_->MakeFolder(options_.folder_));
  BOOST_LEAF_CHECK(disk_->Lock(Path(kLockName)));
  BOOST_LEAF_AUTO(names, disk_->List(options_.folder_));
  for (const std::string& name : names) {
    if (!name.ends_with(kUnfinishedSuffix)) continue;
    BOOST_LEAF_CHECK(disk_->Remove(Path(name)));
  }
  BOOST_LEAF_CHECK(LoadIdentity(names));
  BOOST_LEAF_CHECK(LoadSnapshot(names));
  BOOST_LEAF_CHECK(LoadSegments(names));
  BOOST_LEAF_CHECK(ReconcileLogAndSnapshot());
  stored_.hard_ = hard_;
  return {};
}

leaf::result<void> Storage::LoadIdentity(
    const std::vector<std::string>& names) {
  const bool exists =
      std::find(names.begin(), names.end(), kIdentityName) != names.end();
  if (!exists) {
    const bool used = !NumbersOf(names, kSegmentPrefix).empty() ||
                      !NumbersOf(names, kSnapshotPrefix).empty();
    if (used) {
      return Error(
          fmt::format("{} is missing beside a log", Path(kIdentityName)));
    }
    return MakeIdentity();
  }
  const std::string path = Path(kIdentityName);
  BOOST_LEAF_AUTO(bytes, disk_->Read(path));
  const std::optional<Frame> frame = ReadFrame(bytes, 0);
  const auto identity =
      frame.has_value() ? DecodeDiskIdentity(frame->payload_) : std::nullopt;
  if (!identity.has_value()) {
    return Error(fmt::format("{} is damaged at offset 0", path));
  }
  if (identity->name_ != options_.name_ ||
      identity->group_ != options_.group_) {
    return Error(fmt::format(
        "folder {} belongs to {} of group {}, not to {} of group {}",
        options_.folder_, identity->name_.value(), identity->group_.value(),
        options_.name_.value(), options_.group_.value()));
  }
  stored_.id_ = identity->voter_;
  return {};
}

leaf::result<void> Storage::MakeIdentity() {
  const DiskIdentity identity{.voter_ = options_.new_voter_id_,
                              .group_ = options_.group_,
                              .name_ = options_.name_};
  BOOST_LEAF_CHECK(WriteFileAtomically(
      std::string(kIdentityName), MakeFrame(0, EncodeDiskIdentity(identity))));
  BOOST_LEAF_CHECK(disk_->SyncFolder(ParentFolder(options_.folder_)));
  stored_.id_ = options_.new_voter_id_;
  return {};
}

leaf::result<void> Storage::LoadSnapshot(
    const std::vector<std::string>& names) {
  const std::vector<std::uint64_t> indices = NumbersOf(names, kSnapshotPrefix);
  if (indices.empty()) return {};
  // A killed process may have renamed it without syncing the folder.
  BOOST_LEAF_CHECK(disk_->SyncFolder(options_.folder_));
  // The file was synced before it was renamed to this name, so an incomplete
  // one is corrupt.
  const std::string path = Path(NumberedName(kSnapshotPrefix, indices.back()));
  BOOST_LEAF_AUTO(bytes, disk_->Read(path));
  const std::optional<Frame> frame = ReadFrame(bytes, 0);
  const auto snapshot =
      frame.has_value() ? DecodeDiskSnapshot(frame->payload_) : std::nullopt;
  if (!snapshot.has_value()) {
    return Error(fmt::format("{} is damaged at offset 0", path));
  }
  stored_.snapshot_ = *snapshot;
  snapshot_index_ = snapshot->index_;
  snapshot_bytes_ = bytes.size();
  // A killed process may not have removed the previous ones.
  for (const std::uint64_t index : indices) {
    if (index == indices.back()) continue;
    BOOST_LEAF_CHECK(disk_->Remove(Path(NumberedName(kSnapshotPrefix, index))));
  }
  return {};
}

leaf::result<void> Storage::LoadSegments(
    const std::vector<std::string>& names) {
  const std::vector<std::uint64_t> sequences = NumbersOf(names, kSegmentPrefix);
  for (const std::uint64_t sequence : sequences) {
    BOOST_LEAF_CHECK(LoadSegment(sequence, sequence == sequences.back()));
  }
  return {};
}

leaf::result<void> Storage::LoadSegment(std::uint64_t sequence, bool last) {
  const std::string path = SegmentPath(sequence);
  BOOST_LEAF_AUTO(bytes, disk_->Read(path));
  Segment segment{.sequence_ = sequence, .bytes_ = 0, .max_index_ = {}};
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::optional<Frame> frame = ReadFrame(bytes, offset);
    const std::string where = fmt::format("{} at offset {}", path, offset);
    if (!frame.has_value()) {
      const bool torn = last && !HasLaterFrame(bytes, offset, next_frame_ - 1);
      if (!torn) return Error(fmt::format("{} is damaged", where));
      BOOST_LEAF_CHECK(disk_->Truncate(path, offset));
      break;
    }
    // Segments before this one may have been removed. Its base entry says where
    // the log continues, and ReconcileLogAndSnapshot checks that the snapshot
    // covers everything before that.
    const bool may_skip = offset == 0 && frame->sequence_ > next_frame_;
    if (!may_skip && frame->sequence_ != next_frame_) {
      return Error(fmt::format("{}: frame {} where {} is due", where,
                               frame->sequence_, next_frame_));
    }
    next_frame_ = frame->sequence_ + 1;
    BOOST_LEAF_CHECK(LoadFrame(frame->payload_, &segment, where));
    offset += kFrameHeaderBytes + frame->payload_.size();
  }
  segment.bytes_ = offset;
  segments_.push_back(segment);
  // Syncs frames that a killed process may have written without syncing,
  // because they are treated as synced from here on.
  if (last) BOOST_LEAF_CHECK(disk_->Sync(path));
  return {};
}

leaf::result<void> Storage::LoadFrame(std::string_view payload,
                                      Segment* segment,
                                      const std::string& where) {
  const auto records = SplitRecords(payload);
  if (!records.has_value()) {
    return Error(fmt::format("{} has no records", where));
  }
  for (const std::string_view bytes : *records) {
    std::optional<DiskRecord> record = DecodeDiskRecord(bytes);
    if (!record.has_value()) {
      return Error(fmt::format("{} has a record that does not decode", where));
    }
    if (const auto* hard = std::get_if<HardState>(&*record)) {
      hard_ = *hard;
    } else if (const auto* base = std::get_if<DiskBase>(&*record)) {
      LoadBase(*base);
    } else {
      LogEntry& entry = std::get<LogEntry>(*record);
      segment->max_index_ = std::max(segment->max_index_, entry.index_);
      BOOST_LEAF_CHECK(LoadEntry(std::move(entry), where));
    }
  }
  return {};
}

std::optional<Term> Storage::LoadedTermAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  const std::uint64_t count = stored_.entries_.size();
  if (index < base_index_ || index.value() > base_index_.value() + count) {
    return std::nullopt;
  }
  return stored_.entries_[index.value() - base_index_.value() - 1].term_;
}

void Storage::LoadBase(const DiskBase& base) {
  if (LoadedTermAt(base.index_) == base.term_) {
    stored_.entries_.resize(base.index_.value() - base_index_.value());
  } else {
    // Older segments were removed, or a snapshot replaced the log.
    stored_.entries_.clear();
    base_index_ = base.index_;
    base_term_ = base.term_;
  }
  last_index_ = base.index_;
  last_term_ = base.term_;
}

leaf::result<void> Storage::LoadEntry(LogEntry entry,
                                      const std::string& where) {
  if (entry.index_ <= base_index_ && entry.index_ <= snapshot_index_) {
    // The log was truncated to before this segment's start, at an index that
    // the snapshot covers by now; the segments with the entries before it are
    // gone.
    stored_.entries_.clear();
    base_index_ = LogIndex(entry.index_.value() - 1);
    base_term_ = Term();
    last_index_ = base_index_;
  }
  if (entry.index_ <= base_index_ || entry.index_ > Next(last_index_)) {
    return Error(fmt::format("{}: entry {} does not follow the log {}..{}",
                             where, entry.index_.value(), base_index_.value(),
                             last_index_.value()));
  }
  stored_.entries_.resize(entry.index_.value() - base_index_.value() - 1);
  last_index_ = entry.index_;
  last_term_ = entry.term_;
  stored_.entries_.push_back(std::move(entry));
  return {};
}

// Drops the entries that the snapshot covers. If the log ends before the
// snapshot's index or has another term there, the snapshot replaced the log and
// a crash came before the old log was removed: drops the whole log. Fails if
// the log starts after the snapshot. Writes only to a new folder: the disk of
// another may be full.
leaf::result<void> Storage::ReconcileLogAndSnapshot() {
  if (base_index_ > snapshot_index_) {
    return Error(fmt::format(
        "folder {}: the log starts after entry {} but the snapshot ends at {}",
        options_.folder_, base_index_.value(), snapshot_index_.value()));
  }
  std::vector<LogEntry>& entries = stored_.entries_;
  const bool log_matches_snapshot =
      LoadedTermAt(snapshot_index_) == stored_.snapshot_.term_;
  if (log_matches_snapshot) {
    const auto covered = static_cast<std::ptrdiff_t>(snapshot_index_.value() -
                                                     base_index_.value());
    entries.erase(entries.begin(), entries.begin() + covered);
    if (segments_.empty()) {
      AddSegment(last_index_, last_term_);
      return OpenSegment();
    }
    // A crash may have left the opening frame incomplete.
    opening_due_ = segments_.back().bytes_ == 0;
    return {};
  }
  entries.clear();
  for (Segment& segment : segments_) segment.max_index_ = LogIndex();
  AddSegment(snapshot_index_, stored_.snapshot_.term_);
  opening_due_ = true;
  return {};
}

leaf::result<void> Storage::Write(const std::vector<StorageBatch>& batches) {
  if (failed_) {
    return Error(fmt::format("folder {} failed before", options_.folder_));
  }
  failed_ = true;
  BOOST_LEAF_CHECK(ConvertDiskErrors([&] { return WriteAll(batches); }));
  failed_ = false;
  return {};
}

leaf::result<void> Storage::WriteAll(const std::vector<StorageBatch>& batches) {
  if (std::exchange(opening_due_, false)) {
    BOOST_LEAF_CHECK(OpenSegment());
    BOOST_LEAF_CHECK(RemoveCoveredSegments());
  }
  for (const StorageBatch& batch : batches) {
    if (batch.hard_state_.has_value()) {
      hard_ = *batch.hard_state_;
      AppendRecord(&pending_records_, EncodeDiskRecord(hard_));
    }
    if (batch.snapshot_.has_value()) {
      BOOST_LEAF_CHECK(WriteSnapshot(*batch.snapshot_));
    }
    for (const LogEntry& entry : batch.append_) {
      AppendRecord(&pending_records_, EncodeDiskRecord(entry));
      last_index_ = entry.index_;
      last_term_ = entry.term_;
      Segment& segment = segments_.back();
      segment.max_index_ = std::max(segment.max_index_, entry.index_);
    }
  }
  BOOST_LEAF_CHECK(Flush());
  BOOST_LEAF_CHECK(disk_->Sync(SegmentPath(segments_.back().sequence_)));
  if (segments_.back().bytes_ < options_.segment_bytes_) return {};
  return StartSegment(last_index_, last_term_);
}

// Makes the snapshot durable before any part of the log is removed.
leaf::result<void> Storage::WriteSnapshot(const SaveSnapshot& save) {
  const Snapshot& snapshot = save.snapshot_;
  BOOST_LEAF_CHECK(Flush());
  const std::string bytes =
      MakeFrame(snapshot.index_.value(), EncodeDiskSnapshot(snapshot));
  BOOST_LEAF_CHECK(WriteFileAtomically(
      NumberedName(kSnapshotPrefix, snapshot.index_.value()), bytes));
  const LogIndex previous = std::exchange(snapshot_index_, snapshot.index_);
  snapshot_bytes_ = bytes.size();
  if (save.reset_log_) {
    for (Segment& segment : segments_) segment.max_index_ = LogIndex();
    BOOST_LEAF_CHECK(StartSegment(snapshot.index_, snapshot.term_));
  } else {
    BOOST_LEAF_CHECK(StartSegment(last_index_, last_term_));
  }
  BOOST_LEAF_CHECK(RemoveCoveredSegments());
  if (previous == LogIndex() || previous == snapshot.index_) return {};
  return disk_->Remove(Path(NumberedName(kSnapshotPrefix, previous.value())));
}

// Writes out and syncs the newest segment, then opens the next one.
leaf::result<void> Storage::StartSegment(LogIndex base, Term base_term) {
  BOOST_LEAF_CHECK(Flush());
  BOOST_LEAF_CHECK(disk_->Sync(SegmentPath(segments_.back().sequence_)));
  AddSegment(base, base_term);
  return OpenSegment();
}

void Storage::AddSegment(LogIndex base, Term base_term) {
  const std::uint64_t sequence =
      segments_.empty() ? 1 : segments_.back().sequence_ + 1;
  segments_.push_back(
      {.sequence_ = sequence, .bytes_ = 0, .max_index_ = LogIndex()});
  last_index_ = base;
  last_term_ = base_term;
}

leaf::result<void> Storage::OpenSegment() {
  const DiskBase base{.index_ = last_index_, .term_ = last_term_};
  AppendRecord(&pending_records_, EncodeDiskRecord(base));
  AppendRecord(&pending_records_, EncodeDiskRecord(hard_));
  BOOST_LEAF_CHECK(Flush());
  BOOST_LEAF_CHECK(disk_->Sync(SegmentPath(segments_.back().sequence_)));
  return disk_->SyncFolder(options_.folder_);
}

leaf::result<void> Storage::Flush() {
  if (pending_records_.empty()) return {};
  Segment& segment = segments_.back();
  const std::string frame = MakeFrame(next_frame_, pending_records_);
  pending_records_.clear();
  BOOST_LEAF_CHECK(
      AppendWhole(SegmentPath(segment.sequence_), segment.bytes_, frame));
  ++next_frame_;
  segment.bytes_ += frame.size();
  return {};
}

leaf::result<void> Storage::AppendWhole(const std::string& path,
                                        std::uint64_t size,
                                        std::string_view bytes) {
  while (true) {
    bool full = false;
    BOOST_LEAF_CHECK(leaf::try_handle_some(
        [&] { return disk_->Append(path, bytes); },
        [&](const DiskError& error,
            const leaf::error_info& info) -> leaf::result<void> {
          full = IsFull(error) && wait_for_room_;
          if (!full) return info.error();
          return {};
        }));
    if (!full) return {};
    BOOST_LEAF_CHECK(TruncateIfPresent(*disk_, path, size));
    if (!wait_for_room_()) {
      return Error(fmt::format("no room to write {}", path));
    }
  }
}

leaf::result<void> Storage::WriteFileAtomically(const std::string& name,
                                                std::string_view bytes) {
  const std::string unfinished = Path(name) + std::string(kUnfinishedSuffix);
  BOOST_LEAF_CHECK(AppendWhole(unfinished, 0, bytes));
  BOOST_LEAF_CHECK(disk_->Sync(unfinished));
  BOOST_LEAF_CHECK(disk_->Rename(unfinished, Path(name)));
  return disk_->SyncFolder(options_.folder_);
}

// Removes the oldest segments while the snapshot covers all that they hold.
leaf::result<void> Storage::RemoveCoveredSegments() {
  while (segments_.size() > 1 &&
         segments_.front().max_index_ <= snapshot_index_) {
    BOOST_LEAF_CHECK(disk_->Remove(SegmentPath(segments_.front().sequence_)));
    segments_.erase(segments_.begin());
  }
  return {};
}

std::uint64_t Storage::bytes_on_disk() const {
  std::uint64_t bytes = snapshot_bytes_;
  for (const Segment& segment : segments_) bytes += segment.bytes_;
  return bytes;
}

}  // namespace flamingohollow
