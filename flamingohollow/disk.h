// The file operations that the data folder needs, behind an interface so that
// tests can inject faults.
//
// Written bytes are durable only after Sync of the file; creations, renames and
// removals only after SyncFolder of the folder.

#ifndef FLAMINGOHOLLOW_DISK_H_
#define FLAMINGOHOLLOW_DISK_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flamingohollow {

struct DiskError {
  // "append", "sync", "lock", ...
  std::string operation_;
  std::string path_;
  // An errno value.
  int code_ = 0;
};

class Disk {
 public:
  virtual ~Disk() = default;
  // Creates the folder and its parents if missing.
  virtual boost::leaf::result<void> MakeFolder(const std::string& folder) = 0;
  // Locks the file until this object is destroyed; fails with EWOULDBLOCK when
  // another process holds the lock.
  virtual boost::leaf::result<void> Lock(const std::string& path) = 0;
  // Names of the files in `folder`, sorted.
  virtual boost::leaf::result<std::vector<std::string>> List(
      const std::string& folder) = 0;
  virtual boost::leaf::result<std::string> Read(const std::string& path) = 0;
  // Writes `bytes` at the end; creates the file if missing. After an error the
  // file may hold any part of them.
  virtual boost::leaf::result<void> Append(const std::string& path,
                                           std::string_view bytes) = 0;
  virtual boost::leaf::result<void> Truncate(const std::string& path,
                                             std::uint64_t size) = 0;
  virtual boost::leaf::result<void> Sync(const std::string& path) = 0;
  virtual boost::leaf::result<void> SyncFolder(const std::string& folder) = 0;
  virtual boost::leaf::result<void> Rename(const std::string& from,
                                           const std::string& to) = 0;
  virtual boost::leaf::result<void> Remove(const std::string& path) = 0;
};

// The files of this machine. One object serves one thread.
std::unique_ptr<Disk> MakePosixDisk();

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_DISK_H_
