// The loop of the disk thread.

#include "flamingohollow/disk_thread.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <utility>

#include "util/event_log.h"

namespace flamingohollow {

namespace leaf = boost::leaf;

namespace {

// A full disk is tried again this often.
constexpr std::chrono::milliseconds kRoomCheckInterval(200);

}  // namespace

DiskThread::DiskThread(std::unique_ptr<Storage> storage,
                       std::function<void(std::size_t)> synced,
                       std::function<void(const std::string&)> failed)
    : storage_(std::move(storage)),
      synced_(std::move(synced)),
      failed_(std::move(failed)),
      bytes_on_disk_(storage_->bytes_on_disk()),
      thread_([this] {
        storage_->SetWaitForRoom([this] { return WaitForRoom(); });
        Loop();
      }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void DiskThread::Enqueue(StorageBatch batch) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(batch));
  }
  changed_.notify_one();
}

void DiskThread::Loop() {
  while (true) {
    std::vector<StorageBatch> batches;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      batches.swap(queue_);
    }
    if (!WriteBatches(batches)) return;
    if (full_.exchange(false)) LogEvent("disk_has_room", {});
    bytes_on_disk_ = storage_->bytes_on_disk();
    synced_(batches.size());
  }
}

bool DiskThread::WaitForRoom() {
  if (!full_.exchange(true)) LogEvent("disk_full", {});
  std::unique_lock<std::mutex> lock(mutex_);
  return !changed_.wait_for(lock, kRoomCheckInterval,
                            [this] { return stopping_; });
}

bool DiskThread::WriteBatches(const std::vector<StorageBatch>& batches) {
  return leaf::try_handle_all(
      [this, &batches]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(storage_->Write(batches));
        return true;
      },
      [this](const StorageError& error) {
        failed_(error.message_);
        return false;
      },
      [this] {
        failed_("unknown storage error");
        return false;
      });
}

}  // namespace flamingohollow
