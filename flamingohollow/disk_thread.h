// The thread that writes and syncs the data folder.
//
// Batches that queue up while a sync runs are then written together and share
// one sync. Batches are written and reported in the order of Enqueue. While the
// disk is full, the thread waits for room and reports nothing.

#ifndef FLAMINGOHOLLOW_DISK_THREAD_H_
#define FLAMINGOHOLLOW_DISK_THREAD_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "flamingohollow/storage.h"

namespace flamingohollow {

class DiskThread {
 public:
  // `synced` is called on the disk thread with the number of batches that the
  // latest write made durable; `failed` once, with the reason, after which
  // nothing is written any more.
  DiskThread(std::unique_ptr<Storage> storage,
             std::function<void(std::size_t count)> synced,
             std::function<void(const std::string& reason)> failed);
  // Writes what is queued, then stops.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  void Enqueue(StorageBatch batch);
  std::uint64_t bytes_on_disk() const { return bytes_on_disk_; }
  // Whether batches wait because the disk is full.
  bool full() const { return full_; }

 private:
  void Loop();
  // Returns false if the thread is to stop.
  bool WaitForRoom();
  // Returns false if writing failed.
  bool WriteBatches(const std::vector<StorageBatch>& batches);

  // Used by the disk thread only, once it runs.
  const std::unique_ptr<Storage> storage_;
  const std::function<void(std::size_t)> synced_;
  const std::function<void(const std::string&)> failed_;
  std::atomic<std::uint64_t> bytes_on_disk_;
  std::atomic<bool> full_ = false;

  std::mutex mutex_;
  std::condition_variable changed_;
  // Both guarded by mutex_.
  std::vector<StorageBatch> queue_;
  bool stopping_ = false;

  // Declared last, so that all other members exist when it starts.
  std::thread thread_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_DISK_THREAD_H_
