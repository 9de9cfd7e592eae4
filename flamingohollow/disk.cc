// File operations by POSIX calls.

#include "flamingohollow/disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr mode_t kFileMode = 0640;

// An open file that is closed on destruction.
class OpenFile {
 public:
  OpenFile() = default;
  explicit OpenFile(int descriptor) : descriptor_(descriptor) {}
  OpenFile(OpenFile&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  OpenFile& operator=(OpenFile&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;
  ~OpenFile() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  int descriptor() const { return descriptor_; }

 private:
  int descriptor_ = -1;
};

leaf::error_id ErrnoError(const char* operation, const std::string& path) {
  return leaf::new_error(DiskError{operation, path, errno});
}

leaf::result<OpenFile> Open(const char* operation, const std::string& path,
                            int flags) {
  OpenFile file(open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (file.descriptor() < 0) return ErrnoError(operation, path);
  return file;
}

class PosixDisk : public Disk {
 public:
  leaf::result<void> MakeFolder(const std::string& folder) override {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (!error) return {};
    return leaf::new_error(DiskError{"make folder", folder, error.value()});
  }

  leaf::result<void> Lock(const std::string& path) override {
    BOOST_LEAF_ASSIGN(lock_, Open("lock", path, O_RDWR | O_CREAT));
    if (flock(lock_.descriptor(), LOCK_EX | LOCK_NB) == 0) return {};
    return ErrnoError("lock", path);
  }

  leaf::result<std::vector<std::string>> List(
      const std::string& folder) override {
    std::error_code error;
    std::filesystem::directory_iterator entries(folder, error);
    std::vector<std::string> names;
    while (!error && entries != std::filesystem::directory_iterator()) {
      names.push_back(entries->path().filename().string());
      entries.increment(error);
    }
    if (error) {
      return leaf::new_error(DiskError{"list", folder, error.value()});
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  leaf::result<std::string> Read(const std::string& path) override {
    BOOST_LEAF_AUTO(file, Open("read", path, O_RDONLY));
    std::string bytes;
    char buffer[64 * 1024];
    while (true) {
      const ssize_t count = read(file.descriptor(), buffer, sizeof buffer);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return ErrnoError("read", path);
      if (count == 0) return bytes;
      bytes.append(buffer, static_cast<std::size_t>(count));
    }
  }

  leaf::result<void> Append(const std::string& path,
                            std::string_view bytes) override {
    BOOST_LEAF_CHECK(OpenForAppend("append", path));
    while (!bytes.empty()) {
      const ssize_t count =
          write(append_file_.descriptor(), bytes.data(), bytes.size());
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return ErrnoError("append", path);
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
  }

  leaf::result<void> Truncate(const std::string& path,
                              std::uint64_t size) override {
    if (truncate(path.c_str(), static_cast<off_t>(size)) == 0) return {};
    return ErrnoError("truncate", path);
  }

  leaf::result<void> Sync(const std::string& path) override {
    BOOST_LEAF_CHECK(OpenForAppend("sync", path));
    if (fdatasync(append_file_.descriptor()) == 0) return {};
    return ErrnoError("sync", path);
  }

  leaf::result<void> SyncFolder(const std::string& folder) override {
    BOOST_LEAF_AUTO(file, Open("sync folder", folder, O_RDONLY | O_DIRECTORY));
    if (fsync(file.descriptor()) == 0) return {};
    return ErrnoError("sync folder", folder);
  }

  leaf::result<void> Rename(const std::string& from,
                            const std::string& to) override {
    if (rename(from.c_str(), to.c_str()) == 0) return {};
    return ErrnoError("rename", from);
  }

  leaf::result<void> Remove(const std::string& path) override {
    if (unlink(path.c_str()) == 0) return {};
    return ErrnoError("remove", path);
  }

 private:
  // Opens `path` for appending, unless it is already the open file.
  leaf::result<void> OpenForAppend(const char* operation,
                                   const std::string& path) {
    if (path == append_path_) return {};
    BOOST_LEAF_ASSIGN(append_file_,
                      Open(operation, path, O_WRONLY | O_CREAT | O_APPEND));
    append_path_ = path;
    return {};
  }

  OpenFile lock_;
  OpenFile append_file_;
  std::string append_path_;
};

}  // namespace

std::unique_ptr<Disk> MakePosixDisk() { return std::make_unique<PosixDisk>(); }

}  // namespace flamingohollow
