// One io_context a thread, each kept alive by a work guard until Stop.

#include "util/io_threads.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace flamingohollow {

namespace asio = boost::asio;

struct IoThreads::Impl {
  // The hint of 1 says that only one thread runs the loop.
  struct Worker {
    asio::io_context loop_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{
        loop_.get_executor()};
    std::thread thread_;
  };
  std::vector<std::unique_ptr<Worker>> workers_;
};

IoThreads::IoThreads(std::size_t count) : impl_(std::make_unique<Impl>()) {
  for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) {
    impl_->workers_.push_back(std::make_unique<Impl::Worker>());
    Impl::Worker& worker = *impl_->workers_.back();
    worker.thread_ = std::thread([&worker] { worker.loop_.run(); });
  }
}

IoThreads::~IoThreads() { Stop(); }

std::size_t IoThreads::size() const { return impl_->workers_.size(); }

asio::io_context& IoThreads::Loop(std::size_t index) {
  return impl_->workers_[index]->loop_;
}

void IoThreads::Post(std::size_t index, std::function<void()> task) {
  asio::post(Loop(index), std::move(task));
}

void IoThreads::Stop() {
  for (auto& worker : impl_->workers_) worker->loop_.stop();
  for (auto& worker : impl_->workers_) {
    if (worker->thread_.joinable()) worker->thread_.join();
  }
}

}  // namespace flamingohollow
