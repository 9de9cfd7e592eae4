// The in-memory disk.

#include "flamingohollow/testing/fake_disk.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace flamingohollow::testing {

namespace leaf = boost::leaf;

void FakeFiles::Crash(
    const std::function<std::uint64_t(std::uint64_t)>& random) {
  if (random(2) == 0) names_ = synced_names_;
  synced_names_ = names_;
  for (auto& [name, file] : names_) {
    const std::size_t unsynced = file->data_.size() - file->synced_;
    file->data_.resize(file->synced_ + random(unsynced + 1));
    const bool garbled = file->data_.size() > file->synced_ && random(4) == 0;
    if (garbled) file->data_.back() = static_cast<char>(~file->data_.back());
    file->synced_ = file->data_.size();
  }
  locked_ = false;
  fail_in_ = -1;
}

FakeDisk::FakeDisk(std::shared_ptr<FakeFiles> files)
    : files_(std::move(files)) {}

FakeDisk::~FakeDisk() {
  if (holds_lock_) files_->locked_ = false;
}

leaf::result<void> FakeDisk::MaybeInjectFault(const char* operation,
                                              const std::string& path) {
  if (files_->fail_in_ < 0 || files_->fail_in_-- > 0) return {};
  return leaf::new_error(DiskError{operation, path, files_->fail_code_});
}

leaf::result<void> FakeDisk::MakeFolder(const std::string&) { return {}; }

leaf::result<void> FakeDisk::Lock(const std::string& path) {
  if (files_->locked_) {
    return leaf::new_error(DiskError{"lock", path, EWOULDBLOCK});
  }
  files_->locked_ = holds_lock_ = true;
  return {};
}

leaf::result<std::vector<std::string>> FakeDisk::List(
    const std::string& folder) {
  std::vector<std::string> names;
  for (const auto& [path, file] : files_->names_) {
    names.push_back(path.substr(folder.size() + 1));
  }
  return names;
}

leaf::result<std::string> FakeDisk::Read(const std::string& path) {
  const auto found = files_->names_.find(path);
  if (found != files_->names_.end()) return found->second->data_;
  return leaf::new_error(DiskError{"read", path, ENOENT});
}

leaf::result<void> FakeDisk::Append(const std::string& path,
                                    std::string_view bytes) {
  std::shared_ptr<FakeFiles::File>& file = files_->names_[path];
  if (file == nullptr) file = std::make_shared<FakeFiles::File>();
  if (files_->full_) {
    file->data_ += bytes.substr(0, bytes.size() / 2);
    return leaf::new_error(DiskError{"append", path, ENOSPC});
  }
  // A failing write leaves the first half of its bytes.
  if (files_->fail_in_ == 0) bytes = bytes.substr(0, bytes.size() / 2);
  file->data_ += bytes;
  return MaybeInjectFault("append", path);
}

leaf::result<void> FakeDisk::Truncate(const std::string& path,
                                      std::uint64_t size) {
  BOOST_LEAF_CHECK(MaybeInjectFault("truncate", path));
  FakeFiles::File& file = *files_->names_.at(path);
  file.data_.resize(size);
  file.synced_ = std::min<std::size_t>(file.synced_, size);
  return {};
}

leaf::result<void> FakeDisk::Sync(const std::string& path) {
  BOOST_LEAF_CHECK(MaybeInjectFault("sync", path));
  FakeFiles::File& file = *files_->names_.at(path);
  file.synced_ = file.data_.size();
  ++files_->syncs_;
  return {};
}

leaf::result<void> FakeDisk::SyncFolder(const std::string& folder) {
  BOOST_LEAF_CHECK(MaybeInjectFault("sync folder", folder));
  files_->synced_names_ = files_->names_;
  return {};
}

leaf::result<void> FakeDisk::Rename(const std::string& from,
                                    const std::string& to) {
  BOOST_LEAF_CHECK(MaybeInjectFault("rename", from));
  files_->names_[to] = files_->names_.at(from);
  files_->names_.erase(from);
  return {};
}

leaf::result<void> FakeDisk::Remove(const std::string& path) {
  BOOST_LEAF_CHECK(MaybeInjectFault("remove", path));
  files_->names_.erase(path);
  return {};
}

}  // namespace flamingohollow::testing
