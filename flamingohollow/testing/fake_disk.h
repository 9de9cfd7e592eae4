// An in-memory disk that loses unsynced data in a crash and fails on demand.

#ifndef FLAMINGOHOLLOW_TESTING_FAKE_DISK_H_
#define FLAMINGOHOLLOW_TESTING_FAKE_DISK_H_

#include <atomic>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/disk.h"

namespace flamingohollow::testing {

// The files that outlive a simulated process. One folder; a path is the key.
struct FakeFiles {
  struct File {
    std::string data_;
    // Number of leading bytes of data_ that survive a crash.
    std::size_t synced_ = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  Names names_;
  // names_ as of the last SyncFolder.
  Names synced_names_;
  bool locked_ = false;
  // Number of operations before one fails; none fails while negative.
  int fail_in_ = -1;
  int fail_code_ = 0;
  // While set, appends leave the first half of their bytes and find the disk
  // full. May be set on any thread.
  std::atomic<bool> full_ = false;
  std::uint64_t syncs_ = 0;

  // Simulates a machine crash. `random(n)` returns a number below n, which
  // decides how much unsynced data survives.
  void Crash(const std::function<std::uint64_t(std::uint64_t)>& random);
};

class FakeDisk : public Disk {
 public:
  template <typename T>
  using Result = boost::leaf::result<T>;

  explicit FakeDisk(std::shared_ptr<FakeFiles> files);
  ~FakeDisk() override;
  Result<void> MakeFolder(const std::string& folder) override;
  Result<void> Lock(const std::string& path) override;
  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<std::string> Read(const std::string& path) override;
  Result<void> Append(const std::string& path, std::string_view bytes) override;
  Result<void> Truncate(const std::string& path, std::uint64_t size) override;
  Result<void> Sync(const std::string& path) override;
  Result<void> SyncFolder(const std::string& folder) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;

 private:
  // Counts down fail_in_ and fails the operation when it reaches zero.
  Result<void> MaybeInjectFault(const char* operation, const std::string& path);

  std::shared_ptr<FakeFiles> files_;
  bool holds_lock_ = false;
};

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_FAKE_DISK_H_
